#include "CallerApi.h"

#include "CallerChecks.h"
#include "JitteredDelay.h"
#include "ModelRequest.h"
#include "OpenRequestGuard.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr Duration refusalRetryDelay = std::chrono::seconds(1);

auto pathOf(const HttpRequest& request) -> std::string_view
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

auto completionShape(std::string_view path) -> std::optional<CompletionApi>
{
    if (path == "/v1/completions")
        return CompletionApi::Text;
    if (path == "/v1/chat/completions")
        return CompletionApi::Chat;
    return std::nullopt;
}

}

CallerApi::CallerApi(EntryContext& context, ServiceTable& services)
    : m_context(context)
    , m_services(services)
{
}

auto CallerApi::handle(HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto isHealth = co_await serveHealth(exchange);
    if (!isHealth)
        co_await serveRequest(exchange);
}

auto CallerApi::serveHealth(HttpExchange& exchange) -> asio::awaitable<bool>
{
    const auto path = pathOf(exchange.request());
    if (path == "/healthz") {
        co_await exchange.respond(jsonResponse(200, R"({"status":"ok"})"));
        co_return true;
    }
    if (path == "/readyz") {
        if (m_context.isDraining)
            co_await exchange.respond(jsonResponse(503, R"({"status":"draining"})"));
        else if (!m_services.configurationIndex())
            co_await exchange.respond(jsonResponse(503, R"({"status":"no_configuration"})"));
        else if (!m_context.hasBackendList)
            co_await exchange.respond(jsonResponse(503, R"({"status":"no_backends"})"));
        else
            co_await exchange.respond(jsonResponse(200, R"({"status":"ready"})"));
        co_return true;
    }
    if (path == "/metrics") {
        HttpResponse response { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.metrics.print(m_context.openRequests) };
        co_await exchange.respond(std::move(response));
        co_return true;
    }
    co_return false;
}

auto CallerApi::serveRequest(HttpExchange& exchange) -> asio::awaitable<void>
{
    const OpenRequestGuard open(m_context.openRequests);
    const auto& request = exchange.request();
    if (m_context.isDraining) {
        co_await refuse(exchange, refusalError(RefusalReason::Draining, ExecutionOutcome::NotRun, jitteredDelay(refusalRetryDelay)));
        co_return;
    }
    const auto index = m_services.configurationIndex();
    if (!index) {
        co_await refuse(exchange, ApiError(503, "no_configuration", "the instance has no configuration yet", ExecutionOutcome::NotRun, jitteredDelay(refusalRetryDelay)));
        co_return;
    }
    const auto customer = index->customerOf(findHeader(request.headers, "Authorization"));
    if (!customer) {
        co_await refuse(exchange, ApiError(401, "unauthenticated", "the key is missing or not known"));
        co_return;
    }
    if (open.countOnArrival() > m_context.settings.limits.openRequests) {
        co_await refuse(exchange, refusalError(RefusalReason::Overloaded, ExecutionOutcome::NotRun, jitteredDelay(refusalRetryDelay)));
        co_return;
    }
    const auto path = pathOf(request);
    const auto api = completionShape(path);
    if (api && request.method != "POST")
        co_await refuse(exchange, ApiError(405, "method_not_allowed", "completions are requested by POST"));
    else if (api)
        co_await serveCompletion(exchange, *index, *customer, *api);
    else if (path.starts_with("/services/"))
        co_await servePlain(exchange, *index, *customer);
    else
        co_await refuse(exchange, ApiError(404, "unknown_route", "there is nothing at this path"));
}

auto CallerApi::serveCompletion(HttpExchange& exchange, const ConfigurationIndex& index, CustomerId customer, CompletionApi api) -> asio::awaitable<void>
{
    auto checked = checkCompletion(index, customer, api, exchange.request(), monotonicNow());
    if (checked.has_error()) {
        co_await refuse(exchange, checked.error());
        co_return;
    }
    auto service = m_services.modelService(checked->service);
    if (!service) {
        co_await refuse(exchange, ApiError(404, "unknown_service", "the service was removed", ExecutionOutcome::NotRun));
        co_return;
    }
    const auto request = std::make_shared<ModelRequest>(m_context, std::move(service), exchange, std::move(checked->info));
    co_await request->run();
}

auto CallerApi::servePlain(HttpExchange& exchange, const ConfigurationIndex& index, CustomerId customer) -> asio::awaitable<void>
{
    auto checked = checkPlainCall(index, customer, exchange.request(), monotonicNow());
    if (checked.has_error()) {
        co_await refuse(exchange, checked.error());
        co_return;
    }
    const auto service = m_services.plainService(checked->service);
    if (!service) {
        co_await refuse(exchange, ApiError(404, "unknown_service", "the service was removed", ExecutionOutcome::NotRun));
        co_return;
    }
    co_await service->serve(exchange, std::move(checked->info));
}

auto CallerApi::refuse(HttpExchange& exchange, ApiError error) -> asio::awaitable<void>
{
    auto response = toResponse(error);
    response.headers.push_back({ std::string(hybridTimeHeader), toString(m_context.log.clock().tick()) });
    if (error.status == 401)
        response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    co_await exchange.respond(std::move(response));
}

}
