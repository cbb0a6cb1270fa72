#pragma once

/// A typed error in the form that callers and operators receive: HTTP status, stable type, message,
/// and whether the request was executed.

#include "ExecutionOutcome.h"
#include "HttpResponse.h"
#include "RefusalReason.h"
#include "Time.h"

#include <boost/json/object.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace jayhold {

struct ApiError {
    ApiError() = default;

    ApiError(unsigned httpStatus, std::string errorType, std::string text, ExecutionOutcome ran = ExecutionOutcome::NotRun, Duration retry = {})
        : status(httpStatus)
        , type(std::move(errorType))
        , message(std::move(text))
        , outcome(ran)
        , retryAfter(retry)
    {
    }

    unsigned status = 500;
    /// Stable name that programs may compare against.
    std::string type;
    std::string message;
    ExecutionOutcome outcome = ExecutionOutcome::Unknown;
    /// Time after which a retry is useful; zero if it is not.
    Duration retryAfter {};
    /// The error response of the backend server, for protocols that forward it unchanged; otherwise null.
    std::shared_ptr<const HttpResponse> response;
};

/// @return the stable name of a reason, for callers, logs and metrics.
auto name(RefusalReason reason) -> std::string_view;

/// @return the error that reports a refusal by the decision code to the caller.
auto refusalError(RefusalReason reason, ExecutionOutcome outcome, Duration retryAfter) -> ApiError;

/// @return `{"error":{...}}`.
auto toJson(const ApiError& error) -> boost::json::object;

/// @return the complete response, with a Retry-After header where a retry is useful.
auto toResponse(const ApiError& error) -> HttpResponse;

/// @return the server-sent event that ends a stream which can't be completed.
auto toStreamEvent(const ApiError& error) -> std::string;

}
