#include "Engine.h"

#include "CoroutineSleep.h"
#include "EngineHandlers.h"
#include "JsonBody.h"
#include "Target.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>

namespace jayhold::standin {

namespace asio = boost::asio;

namespace {

using EngineHandler = asio::awaitable<void> (*)(EnginePointer, HttpExchange&);

struct EngineRoute {
    std::string_view method;
    std::string_view path;
    EngineHandler handler;
};

constexpr std::array<EngineRoute, 8> routes { {
    { "POST", "/v1/prefill", handlePrefill },
    { "POST", "/v1/decode", handleDecode },
    { "POST", "/v1/cancel", handleCancel },
    { "GET", "/v1/load", handleLoad },
    { "GET", "/v1/cache_events", handleCacheEvents },
    { "POST", "/v1/orders", handleOrder },
    { "PUT", "/admin/faults", handleEngineFaults },
    { "GET", "/admin/counts", handleEngineCounts },
} };

constexpr auto loadReportInterval = std::chrono::milliseconds(5);
/// Large enough for prompts of tens of thousands of tokens.
constexpr std::size_t maxRequestBodyBytes = 16U << 20U;

auto route(EnginePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    const auto path = pathOf(request.target);
    for (const auto& item : routes) {
        if (item.method == request.method && item.path == path) {
            co_await item.handler(state, exchange);
            co_return;
        }
    }
    if (request.method == "GET" && path.starts_with("/v1/kv/"))
        co_await handleKv(state, exchange);
    else
        co_await exchange.respond(notRunResponse(404, "no_such_route"));
}

auto runSteps(EnginePointer state) -> asio::awaitable<void>
{
    co_await state->steps.run();
}

auto recordLoadReports(EnginePointer state) -> asio::awaitable<void>
{
    const auto retention = std::chrono::milliseconds(state->settings.loadLagMilliseconds) + 4 * loadReportInterval;
    while (state->settings.loadLagMilliseconds > 0) {
        const auto now = monotonicNow();
        state->loadReports.emplace_back(now, makeLoadReport(*state));
        while (state->loadReports.front().first < now - retention)
            state->loadReports.pop_front();
        co_await sleepFor(loadReportInterval);
    }
}

auto serverSettings(const EngineSettings& settings) -> HttpServerSettings
{
    HttpServerSettings result;
    result.endpoint = settings.listen;
    result.maxBodyBytes = maxRequestBodyBytes;
    return result;
}

}

Engine::Engine(IoThreads& threads, EngineSettings settings)
    : m_state(std::make_shared<EngineState>(std::move(settings)))
    , m_server(threads, serverSettings(m_state->settings), [state = m_state](HttpExchange& exchange) { return route(state, exchange); })
{
    asio::co_spawn(threads.context(0), runSteps(m_state), asio::detached);
    asio::co_spawn(threads.context(0), recordLoadReports(m_state), asio::detached);
}

}
