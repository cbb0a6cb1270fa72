// Stand-ins for the platform's store, backend servers and callers, and processes of the entry instance. They speak the
// protocol of the users' pages over blocking sockets, one thread for each connection.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline auto startOfRun() -> Clock::time_point
{
    static const auto start = Clock::now();
    return start;
}

inline auto nowMs() -> long
{
    return static_cast<long>(std::chrono::duration_cast<milliseconds>(Clock::now() - startOfRun()).count());
}

inline auto sleepMs(long time) -> void { std::this_thread::sleep_for(milliseconds(time)); }

/// The record of a run: what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path, std::ios::trunc)
    {
    }
    auto line(const std::string& text) -> void
    {
        const std::lock_guard guard(m_lock);
        m_file << nowMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex m_lock;
    std::ofstream m_file;
};

inline auto lower(std::string text) -> std::string
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Headers {
    std::vector<std::pair<std::string, std::string>> list;
    auto find(const std::string& name) const -> std::optional<std::string>
    {
        for (const auto& [key, value] : list) {
            if (lower(key) == lower(name))
                return value;
        }
        return std::nullopt;
    }
    auto value(const std::string& name) const -> std::string { return find(name).value_or(""); }
};

/// A connected socket with a read buffer.
class Socket {
public:
    explicit Socket(int descriptor)
        : m_descriptor(descriptor)
    {
        const int one = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    ~Socket() { close(); }
    Socket(const Socket&) = delete;
    auto operator=(const Socket&) -> Socket& = delete;

    auto close() -> void
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }
    /// Closes with a reset.
    auto reset() -> void
    {
        const linger option { 1, 0 };
        if (m_descriptor >= 0)
            setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }
    auto write(const std::string& text) -> bool
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto count = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// @return false at the end of the connection or of the time.
    auto fill(Clock::time_point deadline) -> bool
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd entry { m_descriptor, POLLIN, 0 };
        if (left < 0 || ::poll(&entry, 1, static_cast<int>(std::min<long>(left + 1, 1'000'000))) <= 0) {
            m_hasTimedOut = true;
            return false;
        }
        char data[65536];
        const auto count = ::recv(m_descriptor, data, sizeof(data), 0);
        if (count <= 0)
            return false;
        m_buffer.append(data, static_cast<std::size_t>(count));
        return true;
    }
    auto hasClosed() const -> bool
    {
        char byte = 0;
        const auto count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    auto readUntil(const std::string& end, Clock::time_point deadline) -> std::optional<std::string>
    {
        auto position = m_buffer.find(end);
        while (position == std::string::npos) {
            if (!fill(deadline))
                return std::nullopt;
            position = m_buffer.find(end);
        }
        auto text = m_buffer.substr(0, position);
        m_buffer.erase(0, position + end.size());
        return text;
    }
    auto readBytes(std::size_t size, Clock::time_point deadline) -> std::optional<std::string>
    {
        while (m_buffer.size() < size) {
            if (!fill(deadline))
                return std::nullopt;
        }
        auto text = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return text;
    }
    auto descriptor() const -> int { return m_descriptor; }
    auto hasTimedOut() const -> bool { return m_hasTimedOut; }

private:
    int m_descriptor;
    std::string m_buffer;
    bool m_hasTimedOut = false;
};

struct Endpoint {
    std::string address;
    int port;
    auto text() const -> std::string { return address + ":" + std::to_string(port); }
};

inline auto socketAddress(const Endpoint& endpoint) -> sockaddr_in
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

inline auto connectTo(const Endpoint& endpoint) -> std::unique_ptr<Socket>
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(endpoint);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Socket>(descriptor);
}

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

inline auto parseHead(const std::string& head, std::string& first, Headers& headers) -> void
{
    std::size_t position = head.find("\r\n");
    first = head.substr(0, position);
    while (position != std::string::npos) {
        const auto begin = position + 2;
        position = head.find("\r\n", begin);
        const auto line = head.substr(begin, position == std::string::npos ? position : position - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers.list.emplace_back(line.substr(0, colon), value);
    }
}

inline auto readChunks(Socket& socket, Clock::time_point deadline, const std::function<void(const std::string&)>& onChunk) -> bool
{
    while (true) {
        const auto line = socket.readUntil("\r\n", deadline);
        if (!line)
            return false;
        const auto size = std::strtoul(line->c_str(), nullptr, 16);
        if (size == 0)
            return socket.readUntil("\r\n", deadline).has_value();
        const auto chunk = socket.readBytes(size, deadline);
        if (!chunk || !socket.readBytes(2, deadline))
            return false;
        onChunk(*chunk);
    }
}

inline auto readRequest(Socket& socket) -> std::optional<Request>
{
    const auto deadline = Clock::now() + std::chrono::hours(1);
    const auto head = socket.readUntil("\r\n\r\n", deadline);
    if (!head)
        return std::nullopt;
    Request request;
    std::string first;
    parseHead(*head, first, request.headers);
    const auto space = first.find(' ');
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    if (const auto length = request.headers.find("Content-Length")) {
        const auto body = socket.readBytes(std::stoul(*length), deadline);
        if (!body)
            return std::nullopt;
        request.body = *body;
    } else if (request.headers.find("Transfer-Encoding")) {
        if (!readChunks(socket, deadline, [&](const std::string& chunk) { request.body += chunk; }))
            return std::nullopt;
    }
    return request;
}

inline auto reasonOf(int status) -> std::string
{
    return status < 400 ? "OK" : "Error";
}

inline auto responseText(int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on an address and runs a handler in a thread for each connection.
class Listener {
public:
    using Handler = std::function<void(Socket&)>;

    Listener(Endpoint endpoint, Handler handler)
        : m_endpoint(std::move(endpoint))
        , m_handler(std::move(handler))
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const auto address = socketAddress(m_endpoint);
        if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(m_descriptor, 512) != 0) {
            std::fprintf(stderr, "can't listen on %s\n", m_endpoint.text().c_str());
            std::exit(2);
        }
        m_thread = std::thread([this] { accept(); });
    }
    ~Listener() { stop(); }
    Listener(const Listener&) = delete;
    auto operator=(const Listener&) -> Listener& = delete;

    /// Stops listening and resets all connections, as when the process is killed.
    auto stop() -> void
    {
        if (m_isStopped.exchange(true))
            return;
        ::shutdown(m_descriptor, SHUT_RDWR);
        m_thread.join();
        ::close(m_descriptor);
        std::unique_lock guard(m_lock);
        for (auto* socket : m_open) {
            const linger option { 1, 0 };
            setsockopt(socket->descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            ::shutdown(socket->descriptor(), SHUT_RD);
        }
        m_ended.wait(guard, [this] { return m_open.empty(); });
    }
    auto isStopped() const -> bool { return m_isStopped; }

private:
    auto accept() -> void
    {
        while (!m_isStopped) {
            const auto descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            auto* socket = new Socket(descriptor);
            const std::lock_guard guard(m_lock);
            m_open.insert(socket);
            std::thread([this, socket] {
                m_handler(*socket);
                const std::lock_guard ending(m_lock);
                m_open.erase(socket);
                if (m_isStopped)
                    socket->reset();
                delete socket;
                m_ended.notify_all();
            }).detach();
        }
    }

    const Endpoint m_endpoint;
    const Handler m_handler;
    int m_descriptor = -1;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_lock;
    std::condition_variable m_ended;
    std::set<Socket*> m_open;
    std::thread m_thread;
};

/// The platform's store: objects by kind and name, lists, watches and conditional updates.
class Store {
public:
    static constexpr std::size_t valueBytes = 1'048'576;

    explicit Store(const Endpoint& endpoint)
        : m_listener(endpoint, [this](Socket& socket) { serve(socket, false); })
    {
    }

    /// Listens on another address, whose callers can be turned away while the others are served.
    auto listenForSome(const Endpoint& endpoint) -> void
    {
        m_otherListener = std::make_unique<Listener>(endpoint, [this](Socket& socket) { serve(socket, true); });
    }
    auto setTurnsSomeAway(bool isTurned) -> void { m_turnsSomeAway = isTurned; }

    auto put(const std::string& kind, const std::string& name, json::value spec) -> void
    {
        const std::lock_guard guard(m_lock);
        store(kind, name, std::move(spec));
    }
    auto remove(const std::string& kind, const std::string& name) -> void
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_objects.find({ kind, name });
        if (found == m_objects.end())
            return;
        found->second.revision = ++m_revision;
        m_changes.push_back({ kind, m_revision, objectText(name, found->second), true });
        m_objects.erase(found);
        m_changed.notify_all();
    }
    auto setDown(bool isDown) -> void { m_isDown = isDown; }
    auto specText(const std::string& kind, const std::string& name) -> std::string
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_objects.find({ kind, name });
        return found == m_objects.end() ? "" : json::serialize(found->second.spec);
    }
    /// Writes that were refused, by status.
    auto refusedWrites() -> std::map<std::string, int>
    {
        const std::lock_guard guard(m_lock);
        return m_refused;
    }

private:
    struct Object {
        std::int64_t revision;
        std::int64_t createRevision;
        json::value spec;
    };
    struct Change {
        std::string kind;
        std::int64_t revision;
        std::string object;
        bool isDeleted;
    };

    static auto objectText(const std::string& name, const Object& object) -> std::string
    {
        const json::object metadata { { "name", name }, { "revision", object.revision }, { "createRevision", object.createRevision }, { "finalizers", json::array() }, { "deleting", false } };
        return json::serialize(json::object { { "metadata", metadata }, { "spec", object.spec }, { "status", nullptr } });
    }

    auto store(const std::string& kind, const std::string& name, json::value spec) -> Object&
    {
        const auto [entry, isNew] = m_objects.try_emplace({ kind, name });
        auto& object = entry->second;
        if (!isNew && object.spec == spec)
            return object;
        object.spec = std::move(spec);
        object.revision = ++m_revision;
        if (isNew)
            object.createRevision = m_revision;
        m_changes.push_back({ kind, m_revision, objectText(name, object), false });
        m_changed.notify_all();
        return object;
    }

    static auto queryValue(const std::string& target, const std::string& key) -> std::string
    {
        auto position = target.find('?');
        while (position != std::string::npos) {
            const auto begin = position + 1;
            position = target.find('&', begin);
            const auto field = target.substr(begin, position == std::string::npos ? position : position - begin);
            if (field.starts_with(key + "="))
                return field.substr(key.size() + 1);
        }
        return {};
    }

    auto serve(Socket& socket, bool isSome) -> void
    {
        while (auto request = readRequest(socket)) {
            const auto [status, body] = isSome && m_turnsSomeAway ? std::pair { 503, std::string("{}") } : answer(*request, socket);
            if (status == 0 || !socket.write(responseText(status, { { "Content-Type", "application/json" }, { "Store-Era", "0" } }, body)))
                return;
        }
    }

    auto answer(const Request& request, Socket& socket) -> std::pair<int, std::string>
    {
        if (m_isDown)
            return { 503, "{}" };
        const std::string prefix = "/-/objects/";
        auto path = request.target.substr(0, request.target.find('?'));
        if (!path.starts_with(prefix))
            return { 404, "{}" };
        path.erase(0, prefix.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        if (request.method == "POST" || request.method == "PUT")
            return write(request, kind, name);
        const auto watched = queryValue(request.target, "watch");
        if (!watched.empty())
            return watch(kind, std::stoll(watched), milliseconds(std::stol(queryValue(request.target, "waitMs"))), socket);
        const std::lock_guard guard(m_lock);
        if (!name.empty()) {
            const auto found = m_objects.find({ kind, name });
            return found == m_objects.end() ? std::pair { 404, std::string("{}") } : std::pair { 200, objectText(name, found->second) };
        }
        const auto after = queryValue(request.target, "after");
        std::string items;
        auto count = 0;
        auto isTruncated = false;
        for (const auto& [key, object] : m_objects) {
            if (key.first != kind || (!after.empty() && key.second <= after))
                continue;
            isTruncated = count == 500;
            if (isTruncated)
                break;
            items += (count++ > 0 ? "," : "") + objectText(key.second, object);
        }
        return { 200, "{\"items\":[" + items + "],\"truncated\":" + (isTruncated ? "true" : "false") + ",\"storeRevision\":" + std::to_string(m_revision) + "}" };
    }

    auto refuseWrite(int status, const std::string& kind) -> std::pair<int, std::string>
    {
        ++m_refused[kind + " " + std::to_string(status)];
        return { status, "{}" };
    }

    auto write(const Request& request, const std::string& kind, std::string name) -> std::pair<int, std::string>
    {
        const std::lock_guard guard(m_lock);
        boost::system::error_code code;
        const auto body = json::parse(request.body, code);
        const auto* object = code ? nullptr : body.if_object();
        const auto* metadata = object && object->contains("metadata") ? object->at("metadata").if_object() : nullptr;
        // A body that is not valid JSON, for example because a string in it is not UTF-8.
        if (!metadata || !object->contains("spec"))
            return refuseWrite(400, kind);
        const auto& spec = object->at("spec");
        if (json::serialize(spec).size() > valueBytes)
            return refuseWrite(413, kind);
        if (name.empty() && metadata->contains("name"))
            name = metadata->at("name").as_string().c_str();
        const auto found = m_objects.find({ kind, name });
        if (request.method == "POST" && found != m_objects.end())
            return { 409, objectText(name, found->second) };
        if (request.method == "PUT" && found == m_objects.end())
            return { 404, "{}" };
        const auto* expected = metadata->if_contains("revision");
        if (request.method == "PUT" && expected && expected->is_number() && expected->to_number<std::int64_t>() != found->second.revision)
            return { 409, objectText(name, found->second) };
        return { request.method == "POST" ? 201 : 200, objectText(name, store(kind, name, spec)) };
    }

    auto watch(const std::string& kind, std::int64_t revision, milliseconds wait, Socket& socket) -> std::pair<int, std::string>
    {
        const auto end = Clock::now() + wait;
        std::unique_lock guard(m_lock);
        while (true) {
            std::string events;
            for (const auto& change : m_changes) {
                if (change.kind == kind && change.revision > revision)
                    events += (events.empty() ? "" : ",") + std::string("{\"deleted\":") + (change.isDeleted ? "true" : "false") + ",\"object\":" + change.object + "}";
            }
            if (m_isDown)
                return { 503, "{}" };
            if (!events.empty() || Clock::now() >= end || socket.hasClosed())
                return { 200, "{\"events\":[" + events + "],\"storeRevision\":" + std::to_string(m_revision) + "}" };
            m_changed.wait_until(guard, std::min(end, Clock::now() + milliseconds(100)));
        }
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::vector<Change> m_changes;
    std::map<std::string, int> m_refused;
    std::int64_t m_revision = 100;
    std::atomic<bool> m_isDown { false };
    std::atomic<bool> m_turnsSomeAway { false };
    Listener m_listener;
    std::unique_ptr<Listener> m_otherListener;
};

/// What happened at a replica.
struct Run {
    std::string request;
    std::string replica;
    std::string version;
    std::string what;
    long at;
};

/// A backend server of a model service or of a plain service.
class Replica {
public:
    struct Settings {
        std::string id;
        std::string service;
        Endpoint endpoint;
        std::string version = "v1";
        /// `prefill` or `decode`; empty for a plain service.
        std::string phase = "decode";
        std::string zone = "alpine";
        int slots = 16;
        long gapMs = 50;
        /// Time from a request to its first event, beside the gap.
        long firstMs = 0;
        long workMs = 15;
        /// Whether it drops a request when its connection closes, as most replicas do.
        bool dropsClosed = true;
    };

    Replica(Store& store, Settings settings, std::function<void(const Run&)> onRun)
        : m_store(store)
        , m_settings(std::move(settings))
        , m_onRun(std::move(onRun))
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        m_listener = std::make_unique<Listener>(m_settings.endpoint, [this](Socket& socket) { serve(socket); });
    }
    ~Replica() { kill(); }
    Replica(const Replica&) = delete;
    auto operator=(const Replica&) -> Replica& = delete;

    /// Writes the entry in the store, now and at each heartbeat.
    auto registerEntry() -> void
    {
        beat();
        m_heart = std::thread([this] {
            while (!m_isEnded) {
                for (auto waited = 0; waited < 1'200 && !m_isEnded; waited += 50)
                    sleepMs(50);
                if (!m_isEnded)
                    beat();
            }
        });
    }
    /// Ends it as SIGKILL does: no message, its connections are reset, its entry stays.
    auto kill() -> void
    {
        m_isEnded = true;
        // From here on nothing is accepted.
        m_listener->stop();
        if (m_heart.joinable())
            m_heart.join();
    }
    /// Its streams get no event until a time of nowMs().
    auto setSilentUntil(long time) -> void { m_silentUntil = time; }
    auto settings() const -> const Settings& { return m_settings; }
    /// Called with each request before it is handled; returns a whole response to send instead, or nothing.
    std::function<std::optional<std::string>(const Request&)> intercept;
    /// Extra header lines of each answer.
    std::function<std::string()> extraHeaders;

private:
    auto beat() -> void
    {
        json::object entry { { "service", m_settings.service }, { "address", m_settings.endpoint.text() }, { "zone", m_settings.zone }, { "version", m_settings.version },
            { "slots", m_settings.slots }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", ++m_sequence }, { "born", m_born } };
        if (!m_settings.phase.empty()) {
            entry["phase"] = m_settings.phase;
            entry["models"] = json::array { json::object { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } };
        }
        m_store.put("servers", m_settings.id, entry);
    }

    auto note(const Request& request, const std::string& what) -> void
    {
        m_onRun({ request.headers.value("Request-Id"), m_settings.id, m_settings.version, what, nowMs() });
    }

    auto head(const Request& request) const -> std::vector<std::pair<std::string, std::string>>
    {
        std::vector<std::pair<std::string, std::string>> headers;
        if (const auto id = request.headers.find("Request-Id"))
            headers.emplace_back("Request-Id", *id);
        headers.emplace_back("Replica-Id", m_settings.id);
        if (extraHeaders) {
            if (const auto extra = extraHeaders(); !extra.empty())
                headers.emplace_back(extra.substr(0, extra.find(':')), extra.substr(extra.find(':') + 2));
        }
        return headers;
    }

    auto serve(Socket& socket) -> void
    {
        while (auto request = readRequest(socket)) {
            if (intercept) {
                if (const auto text = intercept(*request)) {
                    if (text->empty() || !socket.write(*text))
                        return;
                    continue;
                }
            }
            if (!answer(*request, socket))
                return;
        }
    }

    auto answer(const Request& request, Socket& socket) -> bool
    {
        auto headers = head(request);
        const auto expected = request.headers.find("Expect-Replica");
        if (expected && *expected != m_settings.id)
            return socket.write(responseText(421, headers, ""));
        if (request.target.starts_with("/-/"))
            return control(request, socket, headers);
        if (!request.headers.find("Request-Id")) {
            headers.emplace_back("Not-Executed", "1");
            return socket.write(responseText(400, headers, ""));
        }
        if (request.headers.value("Stage") == "prefill") {
            note(request, "prefill");
            headers.emplace_back("Content-Type", "application/json");
            const auto tokens = std::strtoul(request.headers.value("Token-Counts").c_str(), nullptr, 10);
            return socket.write(responseText(200, headers, json::serialize(json::object { { "handleId", m_settings.id + "-" + std::to_string(++m_handles) }, { "tokens", tokens }, { "version", 1 } })));
        }
        headers.emplace_back("Server-Seal", "seal-" + m_settings.id + "-" + request.headers.value("Request-Id"));
        if (!m_settings.phase.empty())
            return stream(request, socket, headers);
        note(request, "run");
        const auto stated = request.headers.find("X-Work-Ms");
        const auto end = nowMs() + (stated ? std::stol(*stated) : m_settings.workMs);
        // A request is dropped when its connection closes.
        while (nowMs() < end) {
            sleepMs(std::min(end - nowMs(), 10L));
            if (socket.hasClosed()) {
                note(request, "dropped");
                return false;
            }
        }
        return socket.write(responseText(200, headers, "answer to " + request.headers.value("Request-Id")));
    }

    auto control(const Request& request, Socket& socket, std::vector<std::pair<std::string, std::string>> headers) -> bool
    {
        headers.emplace_back("Content-Type", "application/json");
        if (request.target == "/-/hold-take")
            return socket.write(responseText(200, headers, json::serialize(json::object { { "hold", m_settings.id + "-h" + std::to_string(++m_handles) } })));
        if (request.target == "/-/report")
            return socket.write(responseText(200, headers, json::serialize(json::object { { "phase", m_settings.phase }, { "busy", false }, { "sequence", 0 }, { "born", m_born } })));
        if (request.target == "/-/order")
            return socket.write(responseText(409, headers, "{}"));
        return socket.write(responseText(200, headers, "{}"));
    }

    /// Streams events whose data names the replica and its software version.
    auto stream(const Request& request, Socket& socket, std::vector<std::pair<std::string, std::string>> headers) -> bool
    {
        const auto last = request.headers.find("Last-Event-Id");
        const auto first = last ? std::stoi(*last) + 1 : 0;
        note(request, "run from event " + std::to_string(first));
        std::string text = "HTTP/1.1 200 OK\r\n";
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Transfer-Encoding", "chunked");
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        text += "\r\n";
        for (const auto begins = nowMs() + m_settings.firstMs; nowMs() < begins;) {
            sleepMs(5);
            if (m_isEnded || socket.hasClosed())
                return false;
        }
        // As many events as the request names output tokens.
        const auto counts = request.headers.value("Token-Counts");
        const auto events = std::atoi(counts.substr(std::min(counts.find(','), counts.size() - 1) + 1).c_str());
        for (auto index = first; index < events; ++index) {
            sleepMs(std::max(m_settings.gapMs, m_silentUntil - nowMs()));
            if (m_isEnded || (m_settings.dropsClosed && socket.hasClosed()))
                return false;
            const auto event = "id: " + std::to_string(index) + "\ndata: " + m_settings.id + " " + m_settings.version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            text += size + event + "\r\n";
            if (!socket.write(text) && m_settings.dropsClosed)
                return false;
            text.clear();
        }
        note(request, "run ends");
        return socket.write(text + "0\r\n\r\n");
    }

    Store& m_store;
    const Settings m_settings;
    const std::function<void(const Run&)> m_onRun;
    const std::int64_t m_born;
    std::atomic<int> m_sequence { 0 };
    std::atomic<int> m_handles { 0 };
    std::atomic<long> m_silentUntil { 0 };
    std::atomic<bool> m_isEnded { false };
    std::thread m_heart;
    std::unique_ptr<Listener> m_listener;
};

/// What a client saw of an answer.
struct Answer {
    int status = 0;
    Headers headers;
    std::string body;
    bool isComplete = false;
    bool hasTimedOut = false;
    bool isRefusedConnection = false;
    long tookMs = 0;
    long firstByteMs = -1;
};

inline auto readAnswer(Socket& socket, milliseconds patience, const std::function<void(const std::string&)>& onData = {}) -> Answer
{
    const auto begin = nowMs();
    const auto deadline = Clock::now() + patience;
    Answer answer;
    const auto finish = [&]() -> Answer {
        answer.hasTimedOut = socket.hasTimedOut();
        answer.tookMs = nowMs() - begin;
        return answer;
    };
    const auto head = socket.readUntil("\r\n\r\n", deadline);
    if (!head)
        return finish();
    std::string first;
    parseHead(*head, first, answer.headers);
    answer.status = first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    answer.firstByteMs = nowMs() - begin;
    const auto take = [&](const std::string& chunk) {
        answer.body += chunk;
        if (onData)
            onData(chunk);
    };
    if (const auto length = answer.headers.find("Content-Length")) {
        const auto body = socket.readBytes(std::stoul(*length), deadline);
        answer.isComplete = body.has_value();
        if (body)
            take(*body);
    } else if (answer.headers.find("Transfer-Encoding")) {
        answer.isComplete = readChunks(socket, deadline, take);
    }
    return finish();
}

inline auto call(const Endpoint& endpoint, const std::string& text, milliseconds patience, const std::function<void(const std::string&)>& onData = {}) -> Answer
{
    const auto socket = connectTo(endpoint);
    if (!socket || !socket->write(text)) {
        Answer answer;
        answer.isRefusedConnection = !socket;
        return answer;
    }
    return readAnswer(*socket, patience, onData);
}

inline auto describe(const Answer& answer) -> std::string
{
    if (answer.isRefusedConnection)
        return "no connection";
    const auto end = answer.isComplete ? "complete" : answer.hasTimedOut ? "not complete in time"
                                                                         : "broken off";
    return (answer.status ? "status " + std::to_string(answer.status) : std::string("no status")) + ", " + end + ", " + std::to_string(answer.body.size()) + " bytes after " + std::to_string(answer.tookMs) + " ms";
}

/// A process of the entry instance.
class Entry {
public:
    Entry(const std::string& program, const std::string& folder, std::string node, const std::string& address, const Endpoint& store, const std::string& extraSettings = {}, const std::string& zone = "alpine")
        : m_program(program)
        , m_address(address)
        , m_settingsFile(folder + "/" + node + ".conf")
        , m_logFile(folder + "/" + node + ".log")
        , m_node(std::move(node))
    {
        std::ofstream(m_settingsFile) << "node=" << m_node << "\nrole=entry\nmachineClass=edge\nserves=edge\nip=" << address << "\nzone=" << zone << "\nregion=big-bend\n"
                                      << "zones.alpine=big-bend\nzones.terlingua=big-bend\nzones.marfa=big-bend\nlisten.front=" << address << ":8144\nlisten.ready=" << address << ":8140\n"
                                      << "portRange=7660,7675\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=110\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
                                      << "discovery=platform\nentry=vip\nheartbeatMs=1200\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n"
                                      << "bounds.drainMs=2000\nbounds.graceS=8\nbounds.slackMs=200\nbounds.applyMs=2000\nbounds.downgradeMs=250\nbounds.maxStretchMs=5000\nbounds.budgetRatio=0.2\n"
                                      << "bounds.budgetWindowS=10\nbounds.budgetExtra=52\nbounds.recoverS=12\nbounds.transitMs=120\nbounds.retryAfterS=5.3\nbounds.requireFencing=true\nbounds.leaseMs=3000\n"
                                      << "bounds.thawMs=300\nplatform.address=" << store.text() << "\nplatform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
                                      << "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
                                      << extraSettings;
    }
    ~Entry() { signal(SIGKILL), wait(); }
    Entry(const Entry&) = delete;
    auto operator=(const Entry&) -> Entry& = delete;

    auto start() -> void
    {
        m_process = ::fork();
        if (m_process != 0)
            return;
        // It ends with this program, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("JAYHOLD_BOOT", m_settingsFile.c_str(), 1);
        ::execl(m_program.c_str(), m_program.c_str(), "--deployment", "platform", nullptr);
        ::_exit(127);
    }
    auto awaitReady(milliseconds patience = milliseconds(10'000)) -> bool
    {
        const auto end = Clock::now() + patience;
        while (Clock::now() < end) {
            if (call({ m_address, 8140 }, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(500)).status == 200)
                return true;
            sleepMs(50);
        }
        return false;
    }
    auto signal(int number) -> void
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }
    /// @return the exit status, or nothing if the process still runs after the time.
    auto wait(milliseconds patience = milliseconds(20'000)) -> std::optional<int>
    {
        const auto end = Clock::now() + patience;
        int status = 0;
        while (m_process > 0) {
            if (::waitpid(m_process, &status, WNOHANG) == m_process) {
                m_process = -1;
                return status;
            }
            if (Clock::now() >= end)
                return std::nullopt;
            sleepMs(10);
        }
        return status;
    }
    auto isRunning() -> bool { return m_process > 0 && !wait(milliseconds(0)); }
    auto front() const -> Endpoint { return { m_address, 8144 }; }
    auto node() const -> const std::string& { return m_node; }
    auto logFile() const -> const std::string& { return m_logFile; }
    /// Memory of the process in KB: `VmRSS` or `VmHWM`.
    auto memoryKb(const std::string& field) const -> long
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field + ":"))
                return std::atol(line.c_str() + field.size() + 1);
        }
        return 0;
    }

private:
    const std::string m_program;
    const std::string m_address;
    const std::string m_settingsFile;
    const std::string m_logFile;
    const std::string m_node;
    pid_t m_process = -1;
};

inline auto route(const std::string& name, const std::string& service, const std::string& kind, bool canResume, int attempts, int timeoutMs, int targetMs) -> json::object
{
    json::object object { { "name", name }, { "host", "a.example" }, { "pathPrefix", "/" + name + "/" }, { "kind", kind }, { "timeoutMs", timeoutMs }, { "targetLatencyMs", targetMs },
        { "priority", 1 }, { "service", service }, { "maxAttempts", attempts } };
    if (kind == "streaming") {
        object["sticky"] = true;
        object["canResume"] = canResume;
        object["targetGapMs"] = 300;
    }
    return object;
}

/// A configuration with a model service `llm` (routes `resume` and `whole`) and a plain service `app` (`post`, `look`).
inline auto configuration(std::int64_t version) -> json::object
{
    const json::object engine { { "slots", 16 }, { "kvCapacity", 29'250 }, { "kvTokenBytes", 18'432 }, { "linkMbps", 180'000.0 }, { "moves", true }, { "backups", true }, { "stride", 1 },
        { "most", 12 }, { "kvHoldS", 0.5 }, { "roleSwitchS", 6.0 }, { "pinMs", 4'000.0 }, { "holdMs", 2'000.0 }, { "models", json::array { json::object { { "name", "m" } } } } };
    const json::array services { json::object { { "name", "llm" }, { "healthPath", "/health" }, { "maxConns", 170 }, { "protocol", "h1" }, { "tls", false }, { "engine", engine } },
        json::object { { "name", "app" }, { "healthPath", "/health" }, { "maxConns", 100 }, { "protocol", "h1" }, { "tls", false } } };
    const json::array routes { route("resume", "llm", "streaming", true, 2, 14'000, 900), route("whole", "llm", "streaming", false, 1, 14'000, 900),
        route("post", "app", "non_idempotent", false, 1, 1'500, 300), route("look", "app", "idempotent", false, 2, 1'500, 300) };
    const json::object limits { { "maxHeaderBytes", 16'384 }, { "maxBodyBytes", 4'194'304 }, { "headerTimeoutMs", 3'000 }, { "idleTimeoutMs", 15'000 } };
    return { { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits } };
}

/// @param headers further lines, each with its end.
inline auto streamRequest(const std::string& route, const std::string& id, const std::string& headers = {}, int events = 40) -> std::string
{
    // No two requests have the same body.
    const auto body = "prompt of " + id;
    return "POST /" + route + "/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Counts: 200," + std::to_string(events) + "\r\nDeadline-Ms: 14000\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto plainRequest(const std::string& method, const std::string& route, const std::string& id, const std::string& headers = {}) -> std::string
{
    return method + " /" + route + "/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 3000\r\n" + headers + (method == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n");
}

/// A loopback network that only this run uses.
inline auto network() -> std::string
{
    return "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
}

inline auto troubles() -> bool
{
    const auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Arguments of a case: the program of the entry instance and the folder of the record.
struct Case {
    std::string program;
    std::string folder;
    std::string temporary;
    std::unique_ptr<Record> record;

    Case(int count, char** values)
    {
        if (count < 3) {
            std::fprintf(stderr, "usage: %s JAYHOLD-ENTRY FOLDER\n", values[0]);
            std::exit(2);
        }
        startOfRun();
        ::signal(SIGPIPE, SIG_IGN);
        program = values[1];
        folder = values[2];
        record = std::make_unique<Record>(folder + "/record.txt");
        auto pattern = (std::filesystem::temp_directory_path() / "case-XXXXXX").string();
        temporary = ::mkdtemp(pattern.data());
    }
    ~Case()
    {
        std::error_code ignored;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(temporary, ignored);
    }
    auto line(const std::string& text) const -> void { record->line(text); }
};

}
