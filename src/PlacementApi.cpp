#include "PlacementApi.h"

#include "ForwardChecks.h"
#include "ModelArrival.h"
#include "PlacementQuery.h"
#include "PlacementReport.h"
#include "StreamVersions.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr Duration explanationRetryDelay = std::chrono::seconds(1);

auto unavailable(std::string type, std::string message) -> ApiError
{
    return { 503, std::move(type), std::move(message), ExecutionOutcome::NotRun, explanationRetryDelay };
}

auto readQuery(std::string_view body) -> ApiResult<PlacementQuery>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<ApiResult<PlacementQuery>> {
            BOOST_LEAF_AUTO(query, parsePlacementQuery(body));
            return ApiResult<PlacementQuery>(std::move(query));
        },
        [](const ConfigError& error) { return ApiResult<PlacementQuery>(ApiError(400, "invalid_query", describe(error))); },
        [] { return ApiResult<PlacementQuery>(ApiError(400, "invalid_query", "the query can't be read")); });
}

/// The parts of the configuration that the query names.
struct Target {
    const Service* service = nullptr;
    const RequestKind* kind = nullptr;
    std::optional<CustomerId> customer;
};

auto findCustomer(const ConfigurationIndex& index, const Route* route, const PlacementQuery& query) -> ApiResult<std::optional<CustomerId>>
{
    if (query.customer.empty()) {
        if (route && index.configuration().requiresCustomerKey && !route->isPublic)
            return ApiError(400, "customer_required", "route " + route->name + " takes no requests without a customer");
        return std::optional<CustomerId>();
    }
    const auto& customers = index.configuration().customers;
    const auto found = std::ranges::find(customers, query.customer, &Customer::name);
    if (found == customers.end())
        return ApiError(404, "unknown_customer", "the configuration has no customer " + query.customer);
    if (!found->isUsable)
        return unavailable("customer_unusable", "the customer's entry in the configuration can't be used");
    return std::optional(static_cast<CustomerId>(found - customers.begin()));
}

auto findTarget(const ConfigurationIndex& index, const PlacementQuery& query) -> ApiResult<Target>
{
    const auto* route = query.host.empty() ? nullptr : index.route(query.host, query.path);
    if (!query.host.empty() && !route)
        return ApiError(404, "unknown_route", "no route has this host and path");
    const auto customer = findCustomer(index, route, query);
    if (customer.has_error())
        return customer.error();
    const auto serviceName = route ? std::string(chooseTarget(*route, query.requestId)) : query.service;
    const auto* service = index.service(serviceName);
    if (!service)
        return ApiError(404, "unknown_service", "the configuration has no service " + serviceName);
    const auto kindName = route && query.kind.empty() ? route->kind : query.kind;
    const auto kind = findKind(*service, kindName);
    if (!kind || static_cast<std::size_t>(*kind) >= service->kinds.size())
        return ApiError(404, "unknown_kind", "service " + serviceName + " has no kind " + kindName);
    return Target { service, &service->kinds[static_cast<std::size_t>(*kind)], *customer };
}

/// Describes the request as checkCompletion() would, for deployments whose callers use jayhold's own format. The parts are the
/// blocks of the prompt there.
auto applyOwnFormat(const Service& service, const PlacementQuery& query, ModelRequestInfo& info) -> void
{
    info.digest.prefixBlocks = query.promptParts;
    info.forwarded.reset();
    if (info.request.maxTokens == 0)
        info.request.maxTokens = static_cast<std::uint32_t>(service.maxOutputTokens);
}

/// @return the request as checkForward() would describe it. Its body is not known, so it has no crash signature.
auto requestOf(const EntryContext& context, const ConfigurationIndex& index, const Target& target, const PlacementQuery& query) -> CheckedForward
{
    ForwardedCall call;
    call.requestId = query.requestId;
    call.host = query.host;
    call.path = query.path;
    call.callerTimeout = query.deadline;
    call.hasTokenCounts = true;
    call.promptTokens = query.promptTokens;
    call.maxTokens = query.maxOutputTokens;
    call.expectedTokens = query.expectedOutputTokens;
    call.promptParts = query.promptParts;
    auto request = forwardTo(index, *target.service, *target.kind, target.customer, std::move(call), monotonicNow());
    if (auto* completion = std::get_if<CheckedCompletion>(&request)) {
        completion->info.digest.signature = 0;
        if (!context.callerProtocol.decode)
            applyOwnFormat(*target.service, query, completion->info);
    } else {
        std::get<CheckedPlainCall>(request).info.signature = 0;
    }
    return request;
}

auto explainModel(const EntryContext& context, const ConfigurationIndex& index, const ServiceTable& services, const CheckedCompletion& request) -> ApiResult<json::object>
{
    if (!context.callerProtocol.decode) {
        if (auto error = checkSize(*index.service(request.service), request.info))
            return std::move(*error);
    }
    const auto service = services.modelService(request.service);
    if (!service || service->replicas().empty())
        return unavailable("no_backend", "service " + request.service + " has no backend servers");
    auto arrival = arrivalOf(request.info);
    arrival.kind = service->kindId(request.info.kindSettings.name);
    const auto& versions = context.streamVersions;
    const auto isBound = versions && request.info.forwarded && request.info.kindSettings.repeatable;
    const auto placement = service->explainPlacement(std::move(arrival), isBound ? versions->versionWithoutStore(request.service) : std::nullopt);
    if (!placement)
        return unavailable("explanation_unavailable", "another query is being answered, or the service has too many open requests");
    return placementReport(*placement);
}

auto explainCall(const ServiceTable& services, const CheckedPlainCall& request) -> ApiResult<json::object>
{
    const auto service = services.plainService(request.service);
    if (!service || service->backends().empty())
        return unavailable("no_backend", "service " + request.service + " has no backend servers");
    return placementReport(service->explainPlacement(request.info));
}

auto explainRequest(const EntryContext& context, const ConfigurationIndex& index, const ServiceTable& services, const CheckedForward& request) -> ApiResult<json::object>
{
    // As in the request path, before the service gets the request.
    if (context.openRequests + 1 > context.settings.limits.openRequests)
        return json::object { { "decision", refusalReport(name(RefusalReason::Overloaded), explanationRetryDelay) } };
    if (const auto* completion = std::get_if<CheckedCompletion>(&request))
        return explainModel(context, index, services, *completion);
    return explainCall(services, std::get<CheckedPlainCall>(request));
}

auto quotaReport(const QuotaDemand& demand) -> json::object
{
    // The owner of the quota grants amounts to requests only, so whether it would is not known.
    return { { "amount", demand.amount }, { "asked", false } };
}

auto explain(const EntryContext& context, const ServiceTable& services, std::string_view body) -> ApiResult<json::object>
{
    const auto index = services.configurationIndex();
    if (!index)
        return unavailable("no_configuration", "the instance has no configuration yet");
    const auto query = readQuery(body);
    if (query.has_error())
        return query.error();
    const auto target = findTarget(*index, *query);
    if (target.has_error())
        return target.error();
    const auto request = requestOf(context, *index, *target, *query);
    auto report = explainRequest(context, *index, services, request);
    if (report.has_error())
        return report.error();
    report->emplace("instance", context.settings.instance);
    report->emplace("availability_zone", context.settings.availabilityZone);
    report->emplace("service", target->service->name);
    report->emplace("kind", target->kind->name);
    report->emplace("customer", query->customer);
    report->emplace("configuration_version", index->configuration().version);
    report->emplace("list_age_ms", inMilliseconds(listAge(context)));
    if (const auto& quota = std::visit(
            [](const auto& checked) -> const auto& { return checked.quota; }, request);
        quota && context.quotas)
        report->emplace("quota", quotaReport(*quota));
    return report;
}

}

auto explainPlacement(const EntryContext& context, const ServiceTable& services, std::string_view body) -> HttpResponse
{
    const auto report = explain(context, services, body);
    return report.has_error() ? toResponse(report.error()) : jsonResponse(200, json::serialize(*report));
}

}
