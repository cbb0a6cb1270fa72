#pragma once

/// Errors of calls to the platform. The kinds differ in whether an update may have taken effect.

#include "Time.h"

#include <boost/system/result.hpp>

#include <stdexcept>
#include <string>
#include <utility>

namespace jayhold {

enum class StoreErrorKind {
    /// The platform can't be reached or refuses calls. The call did not take effect.
    Unavailable,
    /// The reply was lost. An update may have taken effect.
    OutcomeUnknown,
    /// The call rate limit is reached and the call was not sent.
    OverBudget,
    /// The store no longer keeps the changes since the revision. The objects must be listed again.
    HistoryGone,
    /// The caller cancelled the call. An update may have taken effect.
    Cancelled,
    /// The response violates the protocol. An update may have taken effect.
    MalformedAnswer,
};

struct StoreError {
    StoreErrorKind kind;
    /// Description for logs.
    std::string detail;
    /// Delay after which the next call is expected to be admitted.
    Duration retryAfter = std::chrono::seconds(1);
};

/// @return the error for a response that violates the protocol.
inline auto malformedAnswer(std::string detail) -> StoreError
{
    return { StoreErrorKind::MalformedAnswer, std::move(detail) };
}

template <typename Value>
using StoreResult = boost::system::result<Value, StoreError>;

/// Called by boost::system::result when the value of a failed result is accessed, which is a programming
/// error.
// NOLINTNEXTLINE(readability-identifier-naming): Boost.System looks the function up by this name.
[[noreturn]] inline auto throw_exception_from_error(const StoreError& error, const boost::source_location&) -> void
{
    throw std::logic_error("value taken from a failed store result: " + error.detail);
}

}
