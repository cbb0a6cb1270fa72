#include "PlatformStore.h"

#include "HttpStatus.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto parseObject(const HttpResponse& response) -> StoreResult<StoredObject>
{
    boost::system::error_code code;
    auto document = json::parse(response.body, code);
    auto* object = code ? nullptr : document.if_object();
    auto* revision = object ? object->if_contains("revision") : nullptr;
    if (!revision || !revision->is_int64())
        return malformedAnswer("the platform's response has no revision");
    StoredObject stored { revision->get_int64(), nullptr };
    if (auto* value = object->if_contains("value"))
        stored.value = std::move(*value);
    return stored;
}

auto objectTarget(std::string_view name) -> std::string
{
    return "/v1/objects/" + std::string(name);
}

}

PlatformStore::PlatformStore(const ClusterSettings& settings)
    : m_connection({
        .endpoints = settings.platform,
        .timeout = settings.platformTimeout,
        .callsPerSecond = settings.platformCallsPerSecond,
        .seed = settings.seed ^ std::hash<std::string>()(settings.instance),
    })
{
}

auto PlatformStore::retryAfter() const -> Duration
{
    return m_connection.retryAfter();
}

auto PlatformStore::read(HttpClient& client, std::string name) -> asio::awaitable<StoreResult<StoredObject>>
{
    HttpRequest request { "GET", objectTarget(name), {}, {} };
    const auto response = co_await m_connection.call(client, std::move(request));
    co_return readStoredObject(response, parseObject);
}

auto PlatformStore::watch(HttpClient& client, std::string name, std::int64_t afterRevision, Duration wait) -> asio::awaitable<StoreResult<std::optional<StoredObject>>>
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto target = objectTarget(name) + "?after_revision=" + std::to_string(afterRevision) + "&wait_ms=" + std::to_string(waitMs);
    HttpRequest request { "GET", std::move(target), {}, {} };
    const auto response = co_await m_connection.call(client, std::move(request), wait);
    if (response.has_error())
        co_return response.error();
    if (response->status == statusNotModified || response->status == statusNotFound)
        co_return std::optional<StoredObject> {};
    if (response->status != statusOk)
        co_return malformedAnswer("status " + std::to_string(response->status));
    auto object = parseObject(*response);
    if (object.has_error())
        co_return object.error();
    if (object->revision <= afterRevision)
        co_return std::optional<StoredObject> {};
    co_return std::optional<StoredObject>(std::move(*object));
}

auto PlatformStore::update(HttpClient& client, std::string name, json::value value, std::int64_t expectedRevision) -> asio::awaitable<StoreResult<UpdateOutcome>>
{
    HttpRequest request { "PUT", objectTarget(name), {}, json::serialize(value) };
    request.headers.push_back({ "Content-Type", "application/json" });
    request.headers.push_back({ "If-Match", "\"" + std::to_string(expectedRevision) + "\"" });
    request.isIdempotent = true;
    const auto response = co_await m_connection.call(client, std::move(request));
    if (response.has_error())
        co_return response.error();
    if (response->status != statusOk && response->status != statusCreated && response->status != statusConflict)
        co_return malformedAnswer("status " + std::to_string(response->status));
    auto object = parseObject(*response);
    if (object.has_error())
        co_return object.error();
    if (response->status == statusConflict)
        co_return UpdateOutcome(UpdateConflict { std::move(*object) });
    co_return UpdateOutcome(UpdateApplied { object->revision });
}

auto PlatformStore::instances(HttpClient& client) -> asio::awaitable<StoreResult<InstanceList>>
{
    HttpRequest request { "GET", "/v1/instances", {}, {} };
    const auto response = co_await m_connection.call(client, std::move(request));
    if (response.has_error())
        co_return response.error();
    boost::system::error_code code;
    const auto document = json::parse(response->body, code);
    auto list = code ? std::nullopt : instanceListFromJson(document);
    if (!list)
        co_return malformedAnswer("the instance list can't be parsed");
    co_return std::move(*list);
}

}
