#pragma once

/// Steps in the life of a request. Each leaves the ledger, the queue and the timers consistent.

#include "DecisionContext.h"
#include "ExecutionOutcome.h"
#include "FailureKind.h"
#include "Placement.h"
#include "RefusalReason.h"

namespace jayhold {

auto enqueue(DecisionContext& context, ActiveRequest& request) -> void;
/// Moves a waiting request to the late ones or refuses it once it misses its target or deadline.
auto checkWaiting(DecisionContext& context, ActiveRequest& request) -> void;
/// Starts the prefill, or the decode where it needs none, at the replicas chosen.
auto start(DecisionContext& context, ActiveRequest& request, const Placement& placement) -> void;
auto completePrefill(DecisionContext& context, ActiveRequest& request, TimePoint expiresAt, std::uint32_t cachedTokens) -> void;
/// Reserves a decode seat for a request that has none. @return whether there was one.
auto reserveDecode(DecisionContext& context, ActiveRequest& request) -> bool;
/// Takes the prefill result to a decode seat if there is one; otherwise the result waits.
auto startDecode(DecisionContext& context, ActiveRequest& request) -> bool;
auto enterDecoding(DecisionContext& context, ActiveRequest& request) -> void;

/// The decode engine of a request is gone: frees the seat and waits for the exact token count.
auto stopDecode(DecisionContext& context, ActiveRequest& request) -> void;
/// The present attempt failed; decides whether and how to go on.
auto retryOrRefuse(DecisionContext& context, ActiveRequest& request, FailureKind failure) -> void;

/// The decode replica has no room after all, and nothing has been sent to the prefill replica: the
/// request is placed anew.
auto requeueAfterSlotRefusal(DecisionContext& context, ActiveRequest& request) -> void;

/// These end the request; the reference is invalid afterwards.
auto finish(DecisionContext& context, ActiveRequest& request) -> void;
auto refuse(DecisionContext& context, ActiveRequest& request, RefusalReason reason) -> void;
auto cancel(DecisionContext& context, ActiveRequest& request) -> void;

/// @return how the queue knows the request.
auto queueEntry(const ActiveRequest& request) -> QueueEntry;
auto kindOf(const ShardState& state, const ActiveRequest& request) -> const RequestKind&;
auto customerWeight(const ShardState& state, const ActiveRequest& request) -> double;
/// Cancels on the replicas where the present attempt may hold something.
auto cancelAttempt(DecisionContext& context, const ActiveRequest& request) -> void;
/// Sets the time at which the request needs attention.
auto setTimer(DecisionContext& context, ActiveRequest& request) -> void;

}
