#include "ForwardApi.h"

#include "JitteredDelay.h"
#include "ModelRequest.h"
#include "OpenRequestGuard.h"
#include "QuotaLimiter.h"
#include "RefundingExchange.h"
#include "StreamVersions.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr Duration refusalRetryDelay = std::chrono::seconds(1);

}

ForwardApi::ForwardApi(EntryContext& context, ServiceTable& services)
    : m_context(context)
    , m_services(services)
{
}

auto ForwardApi::handle(HttpExchange& exchange) -> asio::awaitable<void>
{
    const OpenRequestGuard open(m_context.openRequests);
    auto call = m_context.callerProtocol.decode(exchange.request());
    if (call.has_error()) {
        co_await refuse(exchange, "", call.error());
        co_return;
    }
    // The attempts share the body, which no other part of the exchange needs any more.
    call->request.sharedBody = exchange.takeBody();
    const auto requestId = call->requestId;
    const auto index = m_services.configurationIndex();
    if (!index) {
        const ApiError error(503, "no_configuration", "the instance has no configuration yet", ExecutionOutcome::NotRun, jitteredDelay(refusalRetryDelay));
        co_await refuse(exchange, requestId, error);
        co_return;
    }
    if (open.countOnArrival() > m_context.settings.limits.openRequests) {
        const auto error = refusalError(RefusalReason::Overloaded, ExecutionOutcome::NotRun, jitteredDelay(refusalRetryDelay));
        co_await refuse(exchange, requestId, error);
        co_return;
    }
    auto checked = checkForward(*index, m_context.callerProtocol, std::move(*call), monotonicNow());
    if (checked.has_error()) {
        co_await refuse(exchange, requestId, checked.error());
        co_return;
    }
    auto quota = std::visit([](auto& request) { return std::move(request.quota); }, *checked);
    if (quota && m_context.quotas)
        co_await serveWithinQuota(exchange, requestId, std::move(*checked), std::move(*quota));
    else
        co_await serve(exchange, std::move(*checked));
}

auto ForwardApi::serveWithinQuota(HttpExchange& exchange, const std::string& requestId, CheckedForward checked, QuotaDemand demand) -> asio::awaitable<void>
{
    const auto quotas = m_context.quotas;
    auto decision = co_await quotas->take(std::move(demand.customer), demand.amount);
    if (!decision.isGranted) {
        const ApiError error(429, "quota_exceeded", "the customer's quota is used up", ExecutionOutcome::NotRun, decision.retryAfter);
        co_await refuse(exchange, requestId, error);
        co_return;
    }
    RefundingExchange refunding(exchange);
    co_await serve(refunding, std::move(checked));
    if (refunding.isRefusedNotRun())
        quotas->giveBack(std::move(decision.grant));
}

auto ForwardApi::serve(HttpExchange& exchange, CheckedForward checked) -> asio::awaitable<void>
{
    const ApiError removed(503, "unknown_service", "the service was removed", ExecutionOutcome::NotRun, jitteredDelay(refusalRetryDelay));
    if (auto* completion = std::get_if<CheckedCompletion>(&checked)) {
        auto service = m_services.modelService(completion->service);
        if (!service) {
            co_await refuse(exchange, completion->info.forwarded->requestId, removed);
            co_return;
        }
        if (const auto unknown = co_await bindToVersion(completion->service, completion->info)) {
            co_await refuse(exchange, completion->info.forwarded->requestId, *unknown);
            co_return;
        }
        const auto request = std::make_shared<ModelRequest>(m_context, std::move(service), exchange, std::move(completion->info));
        co_await request->run();
        co_return;
    }
    auto& call = std::get<CheckedPlainCall>(checked);
    const auto service = m_services.plainService(call.service);
    if (service)
        co_await service->serve(exchange, std::move(call.info));
    else
        co_await refuse(exchange, call.info.requestId, removed);
}

auto ForwardApi::bindToVersion(const std::string& service, ModelRequestInfo& info) -> asio::awaitable<std::optional<ApiError>>
{
    const auto versions = m_context.streamVersions;
    if (!versions || !info.kindSettings.repeatable)
        co_return std::nullopt;
    if (!info.forwarded->lastToken) {
        info.boundVersion = versions->versionWithoutStore(service);
        co_return std::nullopt;
    }
    const auto answer = co_await versions->find(service, info.forwarded->resumedRequest);
    if (!answer)
        co_return std::nullopt;
    info.boundVersion = answer->version;
    if (info.boundVersion)
        co_return std::nullopt;
    const auto retryDelay = answer->isStoreAway ? jitteredDelay(refusalRetryDelay) : Duration::zero();
    co_return ApiError(503, "version_unknown", "the software version that began the stream is not known", ExecutionOutcome::NotRun, retryDelay);
}

auto ForwardApi::refuseUnread(const HttpRequest& request) -> HttpResponse
{
    const auto call = m_context.callerProtocol.decode(request);
    const ApiError error(503, std::string(name(RefusalReason::Overloaded)), "there is no room for the body of the request", ExecutionOutcome::NotRun, jitteredDelay(refusalRetryDelay));
    return recordRefusal(call.has_value() ? call->requestId : std::string(), error);
}

auto ForwardApi::refuse(HttpExchange& exchange, std::string_view requestId, const ApiError& error) -> asio::awaitable<void>
{
    co_await exchange.respond(recordRefusal(requestId, error));
}

auto ForwardApi::recordRefusal(std::string_view requestId, const ApiError& error) -> HttpResponse
{
    m_context.metrics.countRefusal(error.type);
    std::vector<LogField> fields { { "request", requestId }, { "reason", error.type }, { "detail", error.message }, { "ran", "no" }, { "retry_after_ms", error.retryAfter.count() / 1'000 } };
    addFreshnessFields(m_context, fields);
    m_context.log.record(LogLevel::Info, "request_refused", fields);
    return m_context.callerProtocol.refusal(error);
}

}
