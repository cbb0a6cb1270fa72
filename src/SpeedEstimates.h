#pragma once

/// The speeds of a shard's replicas: observations, and what placement expects from them.

#include "DecisionContext.h"
#include "WorkType.h"

namespace jayhold {

/// @return the work of the replica's role.
auto workOf(const Replica& replica) -> WorkType;

/// Adds an observation to the mean of the service and to the replica.
/// @param tokens prompt tokens that were prefilled, or output tokens.
auto observeReplicaSpeed(DecisionContext& context, Replica& replica, double tokens, double seconds) -> void;

/// Computes the expected speed again if the last value is too old.
auto refreshExpectedSpeed(Replica& replica, TimePoint now) -> void;
/// Adds an estimate of another instance.
auto addHeardReplicaSpeed(DecisionContext& context, Replica& replica, const HeardSpeed& heard) -> void;
/// @return when the expected speed of an idle replica is to be computed again, or the start of time.
auto nextSpeedCheck(const Replica& replica) -> TimePoint;

/// Drops all observations and reports.
auto forgetSpeed(Replica& replica) -> void;

}
