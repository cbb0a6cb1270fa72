#pragma once

/// A failure of a call to the platform, told apart by whether an update can have taken effect.

#include "Time.h"

#include <boost/system/result.hpp>

#include <stdexcept>
#include <string>
#include <utility>

namespace jayhold {

enum class StoreErrorKind {
    /// The platform can't be reached or refuses calls; the call did not take effect.
    Unavailable,
    /// The reply was lost; an update may have taken effect.
    OutcomeUnknown,
    /// The budget of calls is used up; the call was not made.
    OverBudget,
    /// The changes since the revision are no longer kept; the objects have to be read anew.
    HistoryGone,
    /// The caller gave the call up; an update may have taken effect.
    Cancelled,
    /// The answer breaks the protocol; an update may have taken effect.
    MalformedAnswer,
};

struct StoreError {
    StoreErrorKind kind;
    /// For logs.
    std::string detail;
    /// When the next call can be expected to be admitted.
    Duration retryAfter = std::chrono::seconds(1);
};

/// @return the error for an answer that breaks the protocol.
inline auto malformedAnswer(std::string detail) -> StoreError
{
    return { StoreErrorKind::MalformedAnswer, std::move(detail) };
}

template <typename Value>
using StoreResult = boost::system::result<Value, StoreError>;

/// Called by boost::system::result when a value is taken from a failed result, which is a
/// programming error.
// NOLINTNEXTLINE(readability-identifier-naming): Boost.System looks the function up by this name.
[[noreturn]] inline auto throw_exception_from_error(const StoreError& error, const boost::source_location&) -> void
{
    throw std::logic_error("value taken from a failed store result: " + error.detail);
}

}
