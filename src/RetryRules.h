#pragma once

/// Decides which failed attempts may be retried.

#include "DecisionContext.h"
#include "FailureKind.h"

namespace jayhold {

/// Time within which a driver must report the exact token count of a decode whose engine is gone.
constexpr Duration tokenCountTimeout = std::chrono::milliseconds(250);

/// Maximum number of attempts that did not run.
constexpr std::uint32_t maxAttemptsNotRun = 16;

/// @return whether the failure proves that the backend server did not run the attempt.
auto provablyNotRun(FailureKind failure) -> bool;
/// Takes a retry from the retry budget where one is needed.
/// @return whether the request may be retried after the failure, which has already been counted.
auto mayRetry(DecisionContext& context, const ActiveRequest& request, FailureKind failure) -> bool;

}
