#pragma once

/// State, time and actions that all steps of one decision work on.

#include "DecisionAction.h"
#include "ShardState.h"

#include <vector>

namespace jayhold {

struct DecisionContext {
    ShardState& state;
    TimePoint now;
    std::vector<DecisionAction>& actions;
};

auto findRequest(ShardState& state, RequestId id) -> ActiveRequest*;
auto findReplica(ShardState& state, ReplicaId id) -> Replica*;

}
