#pragma once

/// Transitions in the lifecycle of a request. Each leaves the reservations, the queue and the timers
/// consistent.

#include "DecisionContext.h"
#include "ExecutionOutcome.h"
#include "FailureKind.h"
#include "Placement.h"
#include "RefusalReason.h"
#include "RequestTimers.h"

namespace jayhold {

auto enqueue(DecisionContext& context, ActiveRequest& request) -> void;
/// Starts the prefill, or the decode if no prefill is needed, on the chosen replicas.
auto start(DecisionContext& context, ActiveRequest& request, const Placement& placement) -> void;
auto completePrefill(DecisionContext& context, ActiveRequest& request, TimePoint expiresAt, std::uint32_t cachedTokens) -> void;
/// Reserves a decode slot for a request that has none.
/// @return whether a slot was available.
auto reserveDecode(DecisionContext& context, ActiveRequest& request) -> bool;
/// Starts the decode of the prefill result if there is a slot. Otherwise the result waits.
/// @return whether the decode was started.
auto startDecode(DecisionContext& context, ActiveRequest& request) -> bool;
auto enterDecoding(DecisionContext& context, ActiveRequest& request) -> void;

/// Handles the loss of the request's decode engine: releases the slot and waits for the exact token
/// count.
auto stopDecode(DecisionContext& context, ActiveRequest& request) -> void;
/// Handles the failure of the current attempt: returns to its fallback if it has one, retries the request otherwise, or
/// refuses it if it may not run again.
auto retryOrRefuse(DecisionContext& context, ActiveRequest& request, FailureKind failure) -> void;

/// Ends the current attempt, whose engine is silent, and queues the request for the start of its replacement. An attempt
/// that has brought tokens goes on as the fallback of the next one, because its engine may have all that is missing.
auto endForReplacement(DecisionContext& context, ActiveRequest& request) -> void;
/// Gives up what is reserved for the replacement of the current attempt, if anything is.
auto dropReplacement(DecisionContext& context, const ActiveRequest& request) -> void;

/// Moves a waiting request to the Resume sub-queue, where it waits for the retry budget without holding up its flow.
auto awaitRetry(DecisionContext& context, ActiveRequest& request) -> void;

/// Queues a request again whose decode replica has no capacity after all. The prefill replica has not
/// been sent anything yet.
auto requeueAfterSlotRefusal(DecisionContext& context, ActiveRequest& request) -> void;

/// These functions end the request. The reference is invalid afterwards.
auto finish(DecisionContext& context, ActiveRequest& request) -> void;
/// The fallback has completed the response; the current attempt is cancelled.
auto finishAtFallback(DecisionContext& context, ActiveRequest& request) -> void;
/// @param displacedBy rank of the request in whose favour this one is refused, if there is one.
auto refuse(DecisionContext& context, ActiveRequest& request, RefusalReason reason, std::optional<RequestRank> displacedBy = std::nullopt) -> void;
auto cancel(DecisionContext& context, ActiveRequest& request) -> void;

auto kindOf(const ShardState& state, const ActiveRequest& request) -> const RequestKind&;
auto customerWeight(const ShardState& state, const ActiveRequest& request) -> double;
/// Cancels the current attempt on the replicas that may hold something for it.
auto cancelAttempt(DecisionContext& context, const ActiveRequest& request) -> void;

}
