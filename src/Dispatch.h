#pragma once

/// Starts waiting requests wherever there is capacity for them.

#include "DecisionContext.h"
#include "Placement.h"

namespace jayhold {

auto dispatch(DecisionContext& context) -> void;
/// Takes the retries that the calls of the placement need from the budget. If it does not allow for a
/// prefill call, the decode replica prefills itself.
/// @return false if the budget does not allow for the attempt.
auto consumeRetriesFor(DecisionContext& context, ActiveRequest& request, Placement& placement) -> bool;
/// Starts a waiting request on the replicas of its placement.
auto startPlaced(DecisionContext& context, ActiveRequest& request, const Placement& placement) -> void;
/// @return whether an interrupted request that could take the same room waits for something else than what a crash shows.
/// Those that must run at another software version wait for other replicas.
auto hasWaitingResume(const DecisionContext& context, const ActiveRequest& request) -> bool;

}
