#include "ApiError.h"

#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto statusOf(RefusalReason reason) -> unsigned
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return 429;
    case RefusalReason::TooLarge:
        return 413;
    case RefusalReason::CrashSuspect:
        return 422;
    default:
        return 503;
    }
}

auto messageOf(RefusalReason reason) -> std::string_view
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "the request can't meet its deadline under the present load";
    case RefusalReason::QueueFull:
        return "the customer's queue is full";
    case RefusalReason::NoBackend:
        return "no backend server can run the request now";
    case RefusalReason::TooLarge:
        return "the request needs more memory than any backend server has";
    case RefusalReason::DeadlineExceeded:
        return "the request's deadline has passed";
    case RefusalReason::RetriesExhausted:
        return "the attempts to run the request failed";
    case RefusalReason::CrashSuspect:
        return "backend servers crashed while they ran this request";
    case RefusalReason::VersionGone:
        return "no backend server of the software version that began the stream is left";
    case RefusalReason::Draining:
        return "the instance is shutting down";
    }
    return "the request is refused";
}

auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}

auto name(RefusalReason reason) -> std::string_view
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::NoBackend:
        return "no_backend";
    case RefusalReason::TooLarge:
        return "too_large";
    case RefusalReason::DeadlineExceeded:
        return "deadline_exceeded";
    case RefusalReason::RetriesExhausted:
        return "retries_exhausted";
    case RefusalReason::CrashSuspect:
        return "crash_suspect";
    case RefusalReason::VersionGone:
        return "version_gone";
    case RefusalReason::Draining:
        return "draining";
    }
    return "refused";
}

auto refusalError(RefusalReason reason, ExecutionOutcome outcome, Duration retryAfter) -> ApiError
{
    return { statusOf(reason), std::string(name(reason)), std::string(messageOf(reason)), outcome, retryAfter };
}

auto toJson(const ApiError& error) -> json::object
{
    json::object fields {
        { "type", error.type },
        { "message", error.message },
        { "ran", error.outcome == ExecutionOutcome::NotRun ? "no" : "unknown" },
    };
    if (error.retryAfter > Duration::zero())
        fields["retry_after_ms"] = toMilliseconds(error.retryAfter);
    return { { "error", std::move(fields) } };
}

auto toResponse(const ApiError& error) -> HttpResponse
{
    auto response = jsonResponse(error.status, json::serialize(toJson(error)));
    response.isNotRun = error.outcome == ExecutionOutcome::NotRun;
    // The header counts whole seconds; retry_after_ms carries the exact time.
    if (error.retryAfter > Duration::zero())
        response.headers.push_back({ "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count()) });
    return response;
}

auto toStreamEvent(const ApiError& error) -> std::string
{
    return "data: " + json::serialize(toJson(error)) + "\n\n";
}

}
