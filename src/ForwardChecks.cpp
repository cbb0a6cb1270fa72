#include "ForwardChecks.h"

#include "CallSignature.h"
#include "CustomerIdentity.h"
#include "JitteredDelay.h"

#include <algorithm>

namespace jayhold {

namespace {

/// A configuration with a route to a missing service is replaced within seconds.
constexpr Duration missingServiceRetryDelay = std::chrono::seconds(1);

auto deadlineOf(const ForwardedCall& call, const RequestKind& kind, TimePoint now) -> TimePoint
{
    const Duration limit = kind.deadline;
    return now + std::min(limit, call.callerTimeout.value_or(limit));
}

/// @return what the request counts in its customer's quota; nothing if there is no limit.
auto quotaDemand(const ConfigurationIndex& index, std::optional<CustomerId> customerId, const ForwardedCall& call) -> std::optional<QuotaDemand>
{
    if (!customerId)
        return std::nullopt;
    const auto& customer = index.customer(*customerId);
    if (!isLimited(customer.quota))
        return std::nullopt;
    if (customer.quota.unit == QuotaUnit::Requests)
        return QuotaDemand { customer.name, 1 };
    const auto stated = std::int64_t { call.promptTokens } + call.maxTokens;
    return QuotaDemand { customer.name, call.hasTokenCounts ? stated : std::max<std::int64_t>(0, customer.quota.defaultTokens) };
}

auto modelInfo(ForwardedCall call, const RequestKind& kind, TimePoint now) -> ModelRequestInfo
{
    ModelRequestInfo info;
    info.request.maxTokens = call.maxTokens;
    info.request.isStream = true;
    info.digest.tokens = call.promptTokens;
    info.digest.signature = callSignature(call.host, {}, call.request);
    info.kindSettings = kind;
    info.model = call.model;
    info.arrivedAt = now;
    info.deadline = deadlineOf(call, kind, now);
    info.forwarded = std::make_shared<const ForwardedCall>(std::move(call));
    return info;
}

auto plainInfo(ForwardedCall call, const RequestKind& kind, TimePoint now) -> PlainCallInfo
{
    PlainCallInfo info;
    info.kind = kind;
    info.requestId = call.requestId;
    info.signature = callSignature(call.host, {}, call.request);
    info.arrivedAt = now;
    info.deadline = deadlineOf(call, kind, now);
    info.request = std::move(call.request);
    return info;
}

}

auto checkForward(const ConfigurationIndex& index, const CallerProtocol& protocol, ForwardedCall call, TimePoint now) -> ApiResult<CheckedForward>
{
    const auto* route = index.route(call.host, call.path);
    if (!route)
        return ApiError(404, "unknown_route", "no route has this host and path");
    const auto customer = identifyCustomer(index, *route, call);
    if (customer.has_error())
        return customer.error();
    if (index.configuration().requiresCustomerKey)
        protocol.setCustomer(call.request, *customer ? index.customerName(**customer) : std::string());
    // The key is not needed any more.
    call.credentials.clear();
    const auto target = chooseTarget(*route, call.requestId);
    const auto* service = index.service(target);
    const auto kind = service ? std::ranges::find(service->kinds, route->kind, &RequestKind::name) : decltype(service->kinds.begin()) {};
    if (!service || kind == service->kinds.end()) {
        return ApiError(503, "unknown_service", "route " + route->name + " names a service or kind that does not exist", ExecutionOutcome::NotRun, jitteredDelay(missingServiceRetryDelay));
    }
    return forwardTo(index, *service, *kind, *customer, std::move(call), now);
}

auto forwardTo(const ConfigurationIndex& index, const Service& service, const RequestKind& kind, std::optional<CustomerId> customer, ForwardedCall call, TimePoint now) -> CheckedForward
{
    const auto customerName = customer ? index.customerName(*customer) : std::string();
    auto quota = quotaDemand(index, customer, call);
    if (service.type == ServiceType::Model) {
        auto info = modelInfo(std::move(call), kind, now);
        info.customer = customer.value_or(noCustomer);
        info.customerName = customerName;
        return CheckedCompletion { service.name, std::move(info), std::move(quota) };
    }
    auto info = plainInfo(std::move(call), kind, now);
    info.customer = customerName;
    info.customerPriority = index.customerPriority(customer.value_or(noCustomer));
    return CheckedPlainCall { service.name, std::move(info), std::move(quota) };
}

}
