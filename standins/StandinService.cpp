#include "StandinService.h"

#include "CoroutineSleep.h"
#include "JsonBody.h"
#include "ServiceFaults.h"
#include "ServiceResponse.h"
#include "Target.h"

#include <cstdlib>
#include <map>

namespace jayhold::standin {

namespace json = boost::json;
namespace asio = boost::asio;

struct ServiceState {
    ServiceFaults faults;
    std::map<std::string, std::int64_t> runsByKey;
    std::map<std::string, std::int64_t> runsByBody;
    std::int64_t runs = 0;
    std::int64_t reads = 0;
};

namespace {

using ServicePointer = std::shared_ptr<ServiceState>;

constexpr int crashExitCode = 70;

auto maxCount(const std::map<std::string, std::int64_t>& runs) -> std::int64_t
{
    std::int64_t largest = 0;
    for (const auto& [name, count] : runs)
        largest = std::max(largest, count);
    return largest;
}

auto countsResponse(const ServiceState& state) -> HttpResponse
{
    json::object byKey;
    for (const auto& [key, count] : state.runsByKey)
        byKey[key] = count;
    const json::object body {
        { "runs", state.runs },
        { "reads", state.reads },
        { "runs_by_key", std::move(byKey) },
        { "largest_runs_by_key", maxCount(state.runsByKey) },
        { "largest_runs_by_body", maxCount(state.runsByBody) },
    };
    return jsonResponse(200, json::serialize(body));
}

auto adminResponse(ServiceState& state, const HttpRequest& request) -> HttpResponse
{
    const auto route = request.method + " " + request.target;
    if (route == "GET /admin/counts")
        return countsResponse(state);
    if (route != "PUT /admin/faults")
        return notRunResponse(404, "no_such_route");
    std::string errorMessage;
    const auto read = [&](JsonReader& reader) { return readServiceFaults(reader, state.faults); };
    const auto faults = readJsonBody<ServiceFaults>(request.body, errorMessage, read);
    if (!faults)
        return notRunResponse(400, "bad_request", errorMessage);
    state.faults = *faults;
    return jsonResponse(200, "{}");
}

auto mustRunOnce(const HttpRequest& request) -> bool
{
    const auto path = pathOf(request.target);
    return request.method == "POST" && (path.starts_with("/deposits") || path.starts_with("/holds") || path.starts_with("/bookings"));
}

auto countRun(ServiceState& state, const HttpRequest& request) -> void
{
    ++state.runs;
    ++state.runsByBody[request.body];
    if (const auto key = findHeader(request.headers, "Idempotency-Key"))
        ++state.runsByKey[std::string(*key)];
}

/// Runs one call, subject to the active faults, and counts it.
auto runCall(ServiceState& state, HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    if (state.faults.delayMilliseconds > 0)
        co_await sleepFor(std::chrono::milliseconds(state.faults.delayMilliseconds));
    if (state.faults.crashBefore)
        std::_Exit(crashExitCode);
    if (mustRunOnce(request))
        countRun(state, request);
    else
        ++state.reads;
    if (state.faults.crashAfter)
        std::_Exit(crashExitCode);
    if (state.faults.dropReplies > 0) {
        --state.faults.dropReplies;
        exchange.abort();
        co_return;
    }
    auto body = expectedServiceResponse(request.method, request.target, request.body);
    co_await exchange.respond(jsonResponse(200, std::move(body)));
}

auto route(ServicePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    if (request.target.starts_with("/admin/"))
        co_await exchange.respond(adminResponse(*state, request));
    else if (request.method != "GET" && !mustRunOnce(request))
        co_await exchange.respond(notRunResponse(404, "no_such_route"));
    else if (state->faults.leaving)
        co_await exchange.respond(notRunResponse(503, "leaving"));
    else
        co_await runCall(*state, exchange);
}

auto serverSettings(const ServiceSettings& settings) -> HttpServerSettings
{
    HttpServerSettings result;
    result.endpoint = settings.listen;
    return result;
}

}

StandinService::StandinService(IoThreads& threads, const ServiceSettings& settings)
    : m_state(std::make_shared<ServiceState>())
    , m_server(threads, serverSettings(settings), [state = m_state](HttpExchange& exchange) { return route(state, exchange); })
{
}

}
