#pragma once

/// Handlers of the events that concern one replica.

#include "CacheEvents.h"
#include "DecisionContext.h"
#include "ReplicaChanged.h"
#include "ReplicaLimited.h"
#include "ReplicaSpeedReported.h"

namespace jayhold {

auto handle(DecisionContext& context, const ReplicaChanged& event) -> void;
/// Removes the replicas that are gone, and moves those whose role changed to their new role, once none of their
/// requests runs on them.
auto removeEndedReplicas(DecisionContext& context) -> void;
auto handle(DecisionContext& context, const ReplicaLimited& event) -> void;
auto handle(DecisionContext& context, const ReplicaSpeedReported& event) -> void;
auto handle(DecisionContext& context, const CacheEvents& event) -> void;
/// Handles the expiry of the replica's timer.
auto handleReplicaTimer(DecisionContext& context, ReplicaId id) -> void;

}
