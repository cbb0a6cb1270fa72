#pragma once

/// Keeps the placement index in step with the replicas.

#include "DecisionContext.h"

namespace jayhold {

/// Enters, moves or removes the replica after a change of its state or load, and sets its timer.
auto updateIndex(DecisionContext& context, Replica& replica) -> void;
auto removeFromIndex(DecisionContext& context, Replica& replica) -> void;
/// @return whether the replica may get new work now.
auto acceptsWork(const Replica& replica, TimePoint now) -> bool;

}
