#include "CallerChecks.h"

#include "CallSignature.h"
#include "ParseNumber.h"
#include "PlainRoute.h"
#include "ShardSettings.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Header fields that are forwarded to a backend server of a plain service. The caller's key is not
/// forwarded, because it is meant for jayhold only.
constexpr std::string_view forwardedFields[] = { "Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "If-Match", "If-None-Match" };
constexpr std::size_t maxIdempotencyKeyLength = 255;

auto headerText(const HttpRequest& request, std::string_view name) -> std::string
{
    return std::string(findHeader(request.headers, name).value_or(std::string_view {}));
}

auto deadlineOf(const HttpRequest& request, const RequestKind& kind, TimePoint now) -> ApiResult<TimePoint>
{
    const auto text = findHeader(request.headers, "X-Request-Timeout-Ms");
    if (!text)
        return now + kind.deadline;
    const auto milliseconds = parseNumber<std::int64_t>(*text);
    if (!milliseconds || *milliseconds < 1)
        return ApiError(400, "invalid_timeout", "X-Request-Timeout-Ms must be a whole number of at least 1");
    return now + std::min(std::chrono::milliseconds(*milliseconds), kind.deadline);
}

}

auto checkSize(const Service& service, const ModelRequestInfo& info) -> std::optional<ApiError>
{
    if (info.digest.tokens > service.maxPromptTokens) {
        return ApiError(413, "prompt_too_large", "the prompt has " + std::to_string(info.digest.tokens) + " tokens, the service takes " + std::to_string(service.maxPromptTokens));
    }
    if (info.request.maxTokens > service.maxOutputTokens)
        return ApiError(400, "invalid_request", "max_tokens is above " + std::to_string(service.maxOutputTokens) + ", the most that the service gives");
    return std::nullopt;
}

auto checkCompletion(const ConfigurationIndex& index, CustomerId customer, CompletionApi api, const HttpRequest& request, TimePoint now) -> ApiResult<CheckedCompletion>
{
    auto parsed = parseCompletionRequest(api, request.body);
    if (parsed.has_error())
        return parsed.error();
    const auto serviceName = headerText(request, "X-Jayhold-Service");
    const auto* service = index.modelService(serviceName, parsed->model);
    if (!service)
        return ApiError(404, "unknown_service", "no model service matches the request");
    const auto kindName = headerText(request, "X-Jayhold-Kind");
    const auto kind = findKind(*service, kindName);
    if (!kind)
        return ApiError(404, "unknown_kind", "the service has no kind " + kindName);
    ModelRequestInfo info;
    info.request = std::move(*parsed);
    info.kind = *kind;
    info.kindSettings = service->kinds[static_cast<std::size_t>(*kind)];
    info.customer = customer;
    info.customerName = index.customerName(customer);
    info.model = service->model;
    info.arrivedAt = now;
    const auto deadline = deadlineOf(request, info.kindSettings, now);
    if (deadline.has_error())
        return deadline.error();
    info.deadline = *deadline;
    info.digest = digestPrompt(service->model, info.request.prompt, ShardSettings {}.prefixBlockTokens);
    if (info.request.maxTokens == 0)
        info.request.maxTokens = static_cast<std::uint32_t>(service->maxOutputTokens);
    if (auto error = checkSize(*service, info))
        return std::move(*error);
    return CheckedCompletion { service->name, std::move(info) };
}

auto checkPlainCall(const ConfigurationIndex& index, CustomerId customer, const HttpRequest& request, TimePoint now) -> ApiResult<CheckedPlainCall>
{
    auto route = parsePlainRoute(request.target);
    const auto* service = route ? index.service(route->service) : nullptr;
    if (!service || service->type != ServiceType::Plain)
        return ApiError(404, "unknown_service", "no plain service has this name");
    if (!isCanonicalPath(route->target))
        return ApiError(400, "invalid_path", "the path has empty segments, dot segments or escaped separators");
    const auto kind = findPlainKind(*service, request.method, route->target);
    if (!kind)
        return ApiError(404, "unknown_kind", "the service has no kind for this method and path");
    PlainCallInfo info;
    info.kind = service->kinds[static_cast<std::size_t>(*kind)];
    info.customer = index.customerName(customer);
    info.customerPriority = index.customerPriority(customer);
    info.idempotencyKey = headerText(request, "Idempotency-Key");
    if (info.idempotencyKey.size() > maxIdempotencyKeyLength)
        return ApiError(400, "invalid_idempotency_key", "Idempotency-Key has more than 255 characters");
    info.arrivedAt = now;
    const auto deadline = deadlineOf(request, info.kind, now);
    if (deadline.has_error())
        return deadline.error();
    info.deadline = *deadline;
    info.request.method = request.method;
    info.request.target = std::move(route->target);
    info.request.body = request.body;
    for (const auto field : forwardedFields) {
        if (const auto value = findHeader(request.headers, field))
            info.request.headers.push_back({ std::string(field), std::string(*value) });
    }
    info.request.headers.push_back({ "X-Jayhold-Customer", info.customer });
    info.signature = callSignature({}, info.customer, info.request);
    return CheckedPlainCall { service->name, std::move(info) };
}

}
