#include "Platform.h"

#include "CoroutineSleep.h"
#include "JsonBody.h"
#include "PlatformObjects.h"
#include "Target.h"

namespace jayhold::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

using PlatformPointer = std::shared_ptr<PlatformState>;

constexpr std::string_view objectsPath = "/v1/objects/";
/// Above the limit for object values, so that the platform itself rejects a value that is too large.
constexpr std::size_t maxRequestBodyBytes = 4U << 20U;

auto instancesResponse(const PlatformState& state) -> HttpResponse
{
    const auto setBefore = monotonicNow() - std::chrono::milliseconds(state.faults.listLagMilliseconds);
    json::object shown { { "version", 0 }, { "instances", json::array() } };
    for (const auto& [setAt, list] : state.instanceLists) {
        if (setAt <= setBefore)
            shown = list;
    }
    return jsonResponse(200, json::serialize(shown));
}

auto setInstances(PlatformState& state, const std::string& body) -> HttpResponse
{
    boost::system::error_code code;
    const auto parsed = json::parse(body, code);
    const auto* object = code ? nullptr : parsed.if_object();
    const auto* instances = object ? object->if_contains("instances") : nullptr;
    if (!instances || !instances->is_array())
        return notRunResponse(400, "bad_request", "expected {\"instances\":[...]}");
    // Limits the history; lists older than any lag are not needed.
    constexpr std::size_t maxInstanceLists = 1'000;
    state.instanceLists.emplace_back(monotonicNow(), json::object { { "version", ++state.instancesVersion }, { "instances", instances->get_array() } });
    if (state.instanceLists.size() > maxInstanceLists)
        state.instanceLists.pop_front();
    return jsonResponse(200, json::serialize(json::object { { "version", state.instancesVersion } }));
}

auto setFaults(PlatformState& state, const std::string& body) -> HttpResponse
{
    std::string errorMessage;
    const auto read = [&](JsonReader& reader) { return readPlatformFaults(reader, state.faults); };
    const auto faults = readJsonBody<PlatformFaults>(body, errorMessage, read);
    if (!faults)
        return notRunResponse(400, "bad_request", errorMessage);
    state.faults = *faults;
    return jsonResponse(200, "{}");
}

auto countsResponse(const PlatformState& state) -> HttpResponse
{
    json::object body;
    std::int64_t total = 0;
    for (const auto& type : { "read", "watch", "write", "list" }) {
        const auto found = state.calls.find(type);
        const auto count = found == state.calls.end() ? 0 : found->second;
        body[type] = count;
        total += count;
    }
    body["total"] = total;
    body["pending_watches"] = state.pendingWatches;
    return jsonResponse(200, json::serialize(body));
}

auto adminResponse(PlatformState& state, const HttpRequest& request) -> HttpResponse
{
    const auto route = request.method + " " + std::string(pathOf(request.target));
    if (route == "PUT /admin/instances")
        return setInstances(state, request.body);
    if (route == "PUT /admin/faults")
        return setFaults(state, request.body);
    if (route == "GET /admin/counts")
        return countsResponse(state);
    return notRunResponse(404, "no_such_route");
}

/// Applies the faults that affect every call.
/// @return whether a fault has ended the call.
auto applyFaults(PlatformState& state, HttpExchange& exchange) -> asio::awaitable<bool>
{
    if (state.faults.delayMilliseconds > 0)
        co_await sleepFor(std::chrono::milliseconds(state.faults.delayMilliseconds));
    auto isClosed = false;
    exchange.onClose([&isClosed] { isClosed = true; });
    while (state.faults.outage == PlatformOutage::Hanging && !isClosed)
        co_await sleepFor(faultPollInterval);
    exchange.onClose(nullptr);
    if (isClosed) {
        exchange.abort();
        co_return true;
    }
    if (state.faults.outage == PlatformOutage::None)
        co_return false;
    co_await exchange.respond(notRunResponse(503, "unavailable"));
    co_return true;
}

auto route(PlatformPointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    const auto path = pathOf(request.target);
    if (path.starts_with("/admin/")) {
        co_await exchange.respond(adminResponse(*state, request));
        co_return;
    }
    const auto isHandled = co_await applyFaults(*state, exchange);
    if (isHandled)
        co_return;
    auto name = std::string(path.starts_with(objectsPath) ? path.substr(objectsPath.size()) : "");
    if (!name.empty() && request.method == "GET") {
        co_await readObject(state, exchange, std::move(name));
    } else if (!name.empty() && request.method == "PUT") {
        co_await writeObject(state, exchange, std::move(name));
    } else if (path == "/v1/instances" && request.method == "GET") {
        ++state->calls["list"];
        co_await exchange.respond(instancesResponse(*state));
    } else {
        co_await exchange.respond(notRunResponse(404, "no_such_route"));
    }
}

auto serverSettings(const PlatformSettings& settings) -> HttpServerSettings
{
    HttpServerSettings result;
    result.endpoint = settings.listen;
    result.maxBodyBytes = maxRequestBodyBytes;
    return result;
}

}

Platform::Platform(IoThreads& threads, PlatformSettings settings)
    : m_state(std::make_shared<PlatformState>(std::move(settings)))
    , m_server(threads, serverSettings(m_state->settings), [state = m_state](HttpExchange& exchange) { return route(state, exchange); })
{
}

}
