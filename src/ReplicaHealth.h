#pragma once

/// Ejects replicas that fail repeatedly and lets them return.

#include "DecisionContext.h"
#include "FailureKind.h"

namespace jayhold {

auto attemptSucceeded(DecisionContext& context, ReplicaId id) -> void;
auto replicaFailed(DecisionContext& context, ReplicaId id, FailureKind failure) -> void;

}
