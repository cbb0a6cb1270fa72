#pragma once

/// The error of a failed call to an engine.

#include "FailureKind.h"
#include "HttpError.h"
#include "HttpResponse.h"

#include <boost/system/result.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace jayhold {

struct EngineError {
    FailureKind failure;
    /// For logs.
    std::string detail;
    /// The engine's response, if the engine itself reported that the request failed; null otherwise.
    std::shared_ptr<const HttpResponse> response;
};

/// @return the stable name of a failure, for logs and metrics.
auto name(FailureKind failure) -> std::string_view;

/// @return the error of an HTTP call that received no response.
auto engineErrorOf(const HttpError& error) -> EngineError;

/// @return the error of a response with an error status.
auto engineErrorOf(unsigned status) -> EngineError;

template <typename Value>
using EngineResult = boost::system::result<Value, EngineError>;

// NOLINTNEXTLINE(readability-identifier-naming): Boost.System looks the function up by this name.
[[noreturn]] inline auto throw_exception_from_error(const EngineError& error, const boost::source_location&) -> void
{
    throw std::logic_error("value taken from a failed engine call: " + error.detail);
}

}
