#pragma once

/// Decides which failed attempts may be retried.

#include "DecisionContext.h"
#include "FailureKind.h"
#include "RetryWaits.h"

namespace jayhold {

/// Time within which a driver must report the exact token count of a decode whose engine is gone.
constexpr Duration tokenCountTimeout = std::chrono::milliseconds(250);

/// Maximum number of attempts that did not run.
constexpr std::uint32_t maxAttemptsNotRun = 16;

/// @return whether the failure proves that the backend server did not run the attempt.
auto provablyNotRun(FailureKind failure) -> bool;
/// @return whether the failed attempt made a call that the retry budget counts.
auto isCountedCall(const RetryPolicy& policy, FailureKind failure) -> bool;
/// @param isDecoding whether the running attempt is on a decode replica, where it counts as a run.
/// @return whether the rules, apart from the budget, would allow a retry if the running attempt failed now.
auto allowsRetryOfRunning(const ShardState& state, const ActiveRequest& request, bool isDecoding) -> bool;
/// Takes a retry from the retry budget where one is needed.
/// @return whether the request may be retried after the failure, which has already been counted.
auto mayRetry(DecisionContext& context, ActiveRequest& request, FailureKind failure) -> bool;
/// @return whether an attempt of the request was given up after it had begun to run, or the request waits with those.
auto isInterrupted(const ActiveRequest& request) -> bool;
/// @return whether the request is interrupted and the retry budget does not allow its next attempt now.
auto lacksRetry(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return whether the next attempt of the request takes a retry from the budget.
auto needsRetry(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return the retries that the next attempt of an interrupted request takes from the budget, for the count of waits.
auto retryWaitOf(const ShardState& state, const ActiveRequest& request) -> RetryWait;
/// Takes all retries of a full budget for an interrupted request that needs more than the budget can hold. The request
/// keeps them while it waits for the rest.
auto collectRetries(DecisionContext& context, ActiveRequest& request) -> void;
/// @return whether the next attempt of the request takes a retry that the budget can never have, because its capacity is
/// below one retry, or the calls of the request are no longer counted.
auto neverGetsRetry(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return whether a request for which the budget lacks a retry after the failure waits for one. An interrupted
/// request does after a rejection, which shows only that the engine had no room. A request that has left a silent engine
/// does after any failure, because the silent engine might have gone on.
auto waitsForRetry(const DecisionContext& context, const ActiveRequest& request, FailureKind failure) -> bool;
/// Takes from the retry budget what the next calls of a request need beyond the retries that it has
/// taken. The first decode, and the first prefill that ends with a result, need none.
/// @param calls calls of the next attempt: 2 with a prefill of its own, otherwise 1.
/// @return false if the budget does not allow for the calls; nothing is taken then.
auto tryConsumeRetries(DecisionContext& context, ActiveRequest& request, std::uint32_t calls) -> bool;

}
