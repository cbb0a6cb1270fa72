#pragma once

/// Ejects replicas that fail repeatedly and lets them return.

#include "DecisionContext.h"
#include "FailureKind.h"

namespace jayhold {

/// Sets the state of the replica. Seats that wait on it for prefill results are given up when it
/// leaves; the prefills go on and get other seats.
auto changeState(DecisionContext& context, Replica& replica, ReplicaState state) -> void;
auto recordSuccess(DecisionContext& context, ReplicaId id) -> void;
auto recordFailure(DecisionContext& context, ReplicaId id, FailureKind failure) -> void;

}
