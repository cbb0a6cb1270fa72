#pragma once

/// State, time and actions that all steps of one decision work on.

#include "DecisionAction.h"
#include "ShardState.h"

#include <vector>

namespace jayhold {

struct PlacementTrace;

struct DecisionContext {
    ShardState& state;
    TimePoint now;
    std::vector<DecisionAction>& actions;
    /// Records the placement of one request; null except in an explanation. Decisions don't depend on it.
    PlacementTrace* trace = nullptr;
};

/// Handles one event as decide() does.
auto handleEvent(DecisionContext& context, const DecisionEvent& event) -> void;

auto findRequest(ShardState& state, RequestId id) -> ActiveRequest*;
auto findReplica(ShardState& state, ReplicaId id) -> Replica*;

}
