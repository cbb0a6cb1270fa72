#pragma once

/// A typed error as callers and operators see it: HTTP status, stable type, message, and whether
/// the request ran.

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
    /// Stable name that programs may compare.
    std::string type;
    std::string message;
    ExecutionOutcome outcome = ExecutionOutcome::Unknown;
    /// Time after which a repeat makes sense; zero where it makes none.
    Duration retryAfter {};
    /// The failure that a backend server answered itself, for callers that get such answers unchanged.
    std::shared_ptr<const HttpResponse> answer;
};

/// @return the stable name of a reason, for callers, logs and metrics.
auto name(RefusalReason reason) -> std::string_view;

/// @return the caller's answer for a refusal by the decision code.
auto refusalError(RefusalReason reason, ExecutionOutcome outcome, Duration retryAfter) -> ApiError;

/// @return `{"error":{...}}`.
auto toJson(const ApiError& error) -> boost::json::object;

/// @return the whole answer, with Retry-After where a repeat makes sense.
auto toResponse(const ApiError& error) -> HttpResponse;

/// @return the event that ends a stream whose answer can't be completed.
auto toStreamEvent(const ApiError& error) -> std::string;

}
