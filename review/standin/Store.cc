#include "Store.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::string_view objectsPath = "/-/objects/";
constexpr std::size_t maxPageItems = 500;
constexpr std::size_t maxPageBytes = 1U << 20U;
constexpr int idleTimeoutMs = 60'000;
constexpr auto answerTime = std::chrono::milliseconds(4);

auto queryValue(const std::string& query, const std::string& name) -> std::string
{
    const auto found = ("&" + query).find("&" + name + "=");
    if (found == std::string::npos)
        return {};
    const auto begin = found + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
}

auto jsonResponse(int status, const std::string& body) -> std::string
{
    return response(status, { { "Content-Type", "application/json" } }, body);
}

}

Store::Store(const Address& address)
    : m_server(std::make_unique<Server>(address, [this](Connection& connection) { serve(connection); }))
{
}

auto Store::objectText(const std::string& name, const Object& object) -> std::string
{
    return R"({"metadata":{"name":)" + json::serialize(json::value(name)) + R"(,"revision":)" + std::to_string(object.revision) + R"(,"createRevision":)" + std::to_string(object.createRevision)
        + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":)" + object.status + "}";
}

auto Store::putLocked(const std::string& kind, const std::string& name, const std::string& spec) -> void
{
    auto& object = m_objects[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return;
    object.spec = spec;
    object.revision = ++m_revision;
    if (object.createRevision == 0)
        object.createRevision = m_revision;
    m_events.push_back({ kind, m_revision, R"({"deleted":false,"object":)" + objectText(name, object) + "}" });
    m_changed.notify_all();
}

auto Store::put(const std::string& kind, const std::string& name, const std::string& spec) -> void
{
    const std::lock_guard guard(m_lock);
    putLocked(kind, name, spec);
}

auto Store::remove(const std::string& kind, const std::string& name) -> void
{
    const std::lock_guard guard(m_lock);
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return;
    found->second.revision = ++m_revision;
    m_events.push_back({ kind, m_revision, R"({"deleted":true,"object":)" + objectText(name, found->second) + "}" });
    m_objects[kind].erase(found);
    m_changed.notify_all();
}

auto Store::spec(const std::string& kind, const std::string& name) -> std::string
{
    const std::lock_guard guard(m_lock);
    const auto found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? std::string() : found->second.spec;
}

auto Store::serve(Connection& connection) -> void
{
    Message message;
    while (connection.readMessage(message, idleTimeoutMs)) {
        std::this_thread::sleep_for(answerTime);
        const auto isUnanswered = m_isAway.load();
        const auto text = isUnanswered ? std::string() : answer(message);
        if (isUnanswered || m_isAway) {
            connection.reset();
            return;
        }
        if (!connection.write(text))
            return;
    }
}

auto Store::list(const std::string& kind, const std::string& after) -> std::string
{
    const std::lock_guard guard(m_lock);
    std::string items;
    std::size_t count = 0;
    auto isTruncated = false;
    for (const auto& [name, object] : m_objects[kind]) {
        if (!after.empty() && name <= after)
            continue;
        const auto text = objectText(name, object);
        isTruncated = count == maxPageItems || (count > 0 && items.size() + text.size() > maxPageBytes);
        if (isTruncated)
            break;
        items += (count++ == 0 ? "" : ",") + text;
    }
    return jsonResponse(200, R"({"items":[)" + items + R"(],"truncated":)" + (isTruncated ? "true" : "false") + R"(,"storeRevision":)" + std::to_string(m_revision) + "}");
}

auto Store::watch(const std::string& kind, std::int64_t after, int waitMs) -> std::string
{
    std::unique_lock guard(m_lock);
    std::string events;
    const auto collect = [&] {
        for (const auto& event : m_events) {
            if (event.kind == kind && event.revision > after)
                events += (events.empty() ? "" : ",") + event.text;
        }
        return !events.empty();
    };
    m_changed.wait_for(guard, std::chrono::milliseconds(waitMs), collect);
    return jsonResponse(200, R"({"events":[)" + events + R"(],"storeRevision":)" + std::to_string(m_revision) + "}");
}

auto Store::write(const Message& message, const std::string& kind, const std::string& name) -> std::string
{
    boost::system::error_code code;
    const auto value = json::parse(message.body, code);
    const auto* body = code ? nullptr : value.if_object();
    const auto* metadata = body && body->contains("metadata") ? body->at("metadata").if_object() : nullptr;
    if (!metadata || !metadata->contains("name") || !body->contains("spec"))
        return jsonResponse(400, "{}");
    const auto key = name.empty() ? std::string(metadata->at("name").as_string()) : name;
    const auto* revision = metadata->if_contains("revision");
    const std::lock_guard guard(m_lock);
    const auto found = m_objects[kind].find(key);
    const auto exists = found != m_objects[kind].end();
    if (message.method() == "POST" && exists)
        return jsonResponse(409, objectText(key, found->second));
    if (message.method() == "PUT" && !exists)
        return jsonResponse(404, "{}");
    if (exists && revision && revision->to_number<std::int64_t>() != found->second.revision)
        return jsonResponse(409, objectText(key, found->second));
    putLocked(kind, key, json::serialize(body->at("spec")));
    return jsonResponse(200, objectText(key, m_objects[kind][key]));
}

auto Store::answer(const Message& message) -> std::string
{
    const auto target = message.target();
    if (!target.starts_with(objectsPath))
        return jsonResponse(404, "{}");
    const auto question = target.find('?');
    const auto query = question == std::string::npos ? std::string() : target.substr(question + 1);
    auto kind = target.substr(objectsPath.size(), question == std::string::npos ? question : question - objectsPath.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
    }
    if (message.method() == "POST" || message.method() == "PUT")
        return write(message, kind, name);
    if (message.method() == "DELETE") {
        remove(kind, name);
        return jsonResponse(200, "{}");
    }
    if (!name.empty()) {
        const std::lock_guard guard(m_lock);
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? jsonResponse(404, "{}") : jsonResponse(200, objectText(name, found->second));
    }
    if (const auto after = queryValue(query, "watch"); !after.empty())
        return watch(kind, std::atoll(after.c_str()), std::atoi(queryValue(query, "waitMs").c_str()));
    return list(kind, queryValue(query, "after"));
}

}
