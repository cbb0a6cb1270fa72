#pragma once

/// Which failed attempts may be followed by another.

#include "DecisionContext.h"
#include "FailureKind.h"

namespace jayhold {

/// Time that a driver has to report the exact token count of a decode whose engine is gone.
constexpr Duration tokenCountTimeout = std::chrono::milliseconds(250);

/// Times that backend servers may turn a request away.
constexpr std::uint32_t maxAttemptsNotRun = 16;

/// @return whether the failure proves that the backend server did not run the attempt.
auto provablyNotRun(FailureKind failure) -> bool;
/// Takes from the retry budget where needed.
/// @return whether the request may be tried again after the failure, which is already counted.
auto mayRetry(DecisionContext& context, const ActiveRequest& request, FailureKind failure) -> bool;

}
