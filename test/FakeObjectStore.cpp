#include "FakeObjectStore.h"

#include "JsonFields.h"
#include "Pause.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Objects per page; small, so that tests with a few objects read several pages.
constexpr std::size_t pageSize = 2;
constexpr std::string_view objectsPath = "/-/objects/";

auto unescape(std::string_view text) -> std::string
{
    std::string unescaped;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            unescaped += static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, 16));
            index += 2;
        } else {
            unescaped += text[index] == '+' ? ' ' : text[index];
        }
    }
    return unescaped;
}

auto queryValue(std::string_view target, std::string_view key) -> std::string
{
    const auto query = target.find('?');
    auto rest = query == std::string_view::npos ? std::string_view() : target.substr(query + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto field = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (field.starts_with(key) && field.size() > key.size() && field[key.size()] == '=')
            return unescape(field.substr(key.size() + 1));
    }
    return {};
}

}

FakeObjectStore::FakeObjectStore(IoThreads& threads)
    : m_server(threads, {}, [this](HttpExchange& exchange) { return handle(exchange); })
{
}

auto FakeObjectStore::put(const std::string& kind, const std::string& name, json::value spec) -> void
{
    store({ .kind = kind, .name = name, .spec = std::move(spec) });
}

auto FakeObjectStore::putText(const std::string& kind, const std::string& name, std::string spec) -> void
{
    store({ .kind = kind, .name = name, .specText = std::move(spec) });
}

auto FakeObjectStore::putItemText(const std::string& kind, const std::string& name, std::string item) -> void
{
    store({ .kind = kind, .name = name, .itemText = std::move(item) });
}

auto FakeObjectStore::store(Object object) -> void
{
    const std::lock_guard guard(m_lock);
    object.revision = ++m_revision;
    m_changes.push_back(object);
    m_objects[{ object.kind, object.name }] = std::move(object);
}

auto FakeObjectStore::remove(const std::string& kind, const std::string& name) -> void
{
    const std::lock_guard guard(m_lock);
    auto object = m_objects[{ kind, name }];
    object.revision = ++m_revision;
    object.isDeleted = true;
    m_objects.erase({ kind, name });
    m_changes.push_back(std::move(object));
}

auto FakeObjectStore::contains(const std::string& kind, std::string_view text) const -> bool
{
    const std::lock_guard guard(m_lock);
    return std::ranges::any_of(m_objects, [&](const auto& object) { return object.first.first == kind && toText(object.second).find(text) != std::string::npos; });
}

auto FakeObjectStore::compact() -> void
{
    const std::lock_guard guard(m_lock);
    m_changes.clear();
    m_compactedRevision = m_revision;
}

auto FakeObjectStore::saveCopy() -> void
{
    const std::lock_guard guard(m_lock);
    m_copiedObjects = m_objects;
    m_copiedRevision = m_revision;
}

auto FakeObjectStore::restore() -> void
{
    const std::lock_guard guard(m_lock);
    m_objects = m_copiedObjects;
    m_revision = m_copiedRevision;
    m_compactedRevision = m_copiedRevision;
    m_changes.clear();
    ++m_history;
}

auto FakeObjectStore::revision() const -> std::int64_t
{
    const std::lock_guard guard(m_lock);
    return m_revision;
}

auto FakeObjectStore::respond(HttpExchange& exchange, unsigned status, std::string body) -> asio::awaitable<void>
{
    auto response = jsonResponse(status, std::move(body));
    response.headers.push_back({ "Store-Era", std::to_string(m_history) });
    co_await exchange.respond(std::move(response));
}

auto FakeObjectStore::toText(const Object& object) -> std::string
{
    if (!object.itemText.empty())
        return object.itemText;
    const json::object metadata { { "name", object.name }, { "revision", object.revision } };
    const auto spec = object.specText.empty() ? json::serialize(object.spec) : object.specText;
    return R"({"metadata":)" + json::serialize(metadata) + R"(,"spec":)" + spec + "}";
}

auto FakeObjectStore::handle(HttpExchange& exchange) -> asio::awaitable<void>
{
    if (++m_calls == m_restoreAtCall)
        restore();
    const auto& request = exchange.request();
    if (m_isDown) {
        co_await respond(exchange, 503, "{}");
        co_return;
    }
    if (m_isMalformed) {
        co_await respond(exchange, 200, R"({"items":[7,{}],"truncated":true,"storeRevision":9})");
        co_return;
    }
    auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (!path.starts_with(objectsPath)) {
        co_await respond(exchange, 404, "{}");
        co_return;
    }
    path.remove_prefix(objectsPath.size());
    const auto slash = path.find('/');
    const std::string kind(path.substr(0, slash));
    const std::string name(slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1));
    const auto watched = queryValue(request.target, "watch");
    if (request.method != "GET")
        co_await write(exchange, kind);
    else if (!name.empty())
        co_await readOne(exchange, kind, name);
    else if (!watched.empty())
        co_await watch(exchange, kind, std::stoll(watched), std::chrono::milliseconds(std::stoll(queryValue(request.target, "waitMs"))));
    else
        co_await list(exchange, kind, queryValue(request.target, "after"));
}

auto FakeObjectStore::readOne(HttpExchange& exchange, const std::string& kind, const std::string& name) -> asio::awaitable<void>
{
    std::string response = "{}";
    unsigned status = 404;
    {
        const std::lock_guard guard(m_lock);
        if (const auto known = m_objects.find({ kind, name }); known != m_objects.end()) {
            response = toText(known->second);
            status = 200;
        }
    }
    co_await respond(exchange, status, std::move(response));
}

auto FakeObjectStore::list(HttpExchange& exchange, const std::string& kind, const std::string& after) -> asio::awaitable<void>
{
    std::string items;
    std::size_t count = 0;
    auto isTruncated = false;
    std::int64_t revision = 0;
    {
        const std::lock_guard guard(m_lock);
        revision = m_revision;
        for (const auto& [key, object] : m_objects) {
            if (key.first != kind || (!after.empty() && key.second <= after))
                continue;
            isTruncated = count == pageSize;
            if (isTruncated)
                break;
            items += (count++ > 0 ? "," : "") + toText(object);
        }
    }
    const auto page = R"({"items":[)" + items + R"(],"truncated":)" + (isTruncated ? "true" : "false") + R"(,"storeRevision":)" + std::to_string(revision) + "}";
    co_await respond(exchange, 200, page);
}

auto FakeObjectStore::watch(HttpExchange& exchange, const std::string& kind, std::int64_t revision, Duration wait) -> asio::awaitable<void>
{
    const auto end = monotonicNow() + wait;
    auto isFirst = true;
    while (true) {
        std::string events;
        std::int64_t current = 0;
        auto isGone = false;
        {
            const std::lock_guard guard(m_lock);
            current = m_revision;
            // A watch that is pending when the history is discarded gets the error when its wait ends.
            isGone = (revision < m_compactedRevision && (isFirst || monotonicNow() >= end)) || revision > m_revision;
            for (const auto& object : m_changes) {
                if (object.kind == kind && object.revision > revision)
                    events += (events.empty() ? "" : ",") + (R"({"object":)" + toText(object) + R"(,"deleted":)" + (object.isDeleted ? "true" : "false") + "}");
            }
        }
        if (isGone) {
            co_await respond(exchange, 410, "{}");
            co_return;
        }
        if (!events.empty() || monotonicNow() >= end) {
            const auto body = R"({"events":[)" + events + R"(],"storeRevision":)" + std::to_string(current) + "}";
            co_await respond(exchange, 200, body);
            co_return;
        }
        isFirst = false;
        co_await pause(std::chrono::milliseconds(5));
    }
}

auto FakeObjectStore::write(HttpExchange& exchange, const std::string& kind) -> asio::awaitable<void>
{
    const auto body = json::parse(exchange.request().body);
    const auto& metadata = body.at("metadata").as_object();
    const std::string name(metadata.at("name").as_string());
    const auto isCreate = exchange.request().method == "POST";
    unsigned status = 200;
    std::string response = "{}";
    {
        const std::lock_guard guard(m_lock);
        const auto known = m_objects.find({ kind, name });
        std::int64_t expected = 0;
        readNumber(metadata, "revision", expected);
        const auto isConflict = known != m_objects.end() && (isCreate || (expected > 0 && known->second.revision != expected));
        if (isConflict) {
            status = 409;
            response = toText(known->second);
        } else if (!isCreate && known == m_objects.end()) {
            status = 404;
        } else {
            Object object { kind, name, ++m_revision, body.at("spec") };
            response = toText(object);
            m_changes.push_back(object);
            m_objects[{ kind, name }] = std::move(object);
        }
    }
    co_await respond(exchange, status, std::move(response));
}

}
