#pragma once

/// The decision state of one model service as one entry instance sees it: queues, reservations,
/// replicas and estimates. It has no clock, socket, thread or log, so that the daemon and the bench can
/// send it the same events. Callers hold the shard's lock.

#include "DecisionAction.h"
#include "DecisionEvent.h"
#include "ReplicaSpeed.h"
#include "ReplicaUsage.h"
#include "RetryBudget.h"
#include "RoleDemand.h"
#include "ShardSettings.h"
#include "SpeedSummary.h"
#include "Time.h"

#include <memory>
#include <vector>

namespace jayhold {

struct ShardState;

struct ShardStateDeleter {
    auto operator()(ShardState* state) const -> void;
};

struct Shard {
    std::unique_ptr<ShardState, ShardStateDeleter> state;
};

/// @return a shard without replicas and requests.
auto makeShard(ShardSettings settings) -> Shard;

/// Handles one event and appends the resulting actions.
/// @param now never decreases between calls.
auto decide(Shard& shard, TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions) -> void;

/// @return an independent copy, for a decision that must not change the shard.
auto copyOf(const Shard& shard) -> Shard;

/// @return what the shard has reserved on each replica that it uses.
auto ownUsage(const Shard& shard) -> std::vector<ReplicaUsage>;

/// @return the work for the two roles, as far as this instance knows it.
auto roleDemand(const Shard& shard) -> RoleDemand;
/// @return the speeds that this shard has observed itself, of the replicas that it has used recently.
auto observedSpeeds(const Shard& shard, TimePoint now) -> std::vector<ReplicaSpeed>;
/// @return how the expected speeds of the replicas differ.
auto summarizeSpeeds(const Shard& shard) -> SpeedSummary;

/// Takes a retry from the budget for a call to the replica that the shard has not started.
/// @return false if the budget is exhausted, or the replica takes no further call now.
auto tryConsumeRetry(Shard& shard, TimePoint now, ReplicaId replica) -> bool;
/// @return whether the replica has asked for a pause that has not ended.
auto isPaused(const Shard& shard, TimePoint now, ReplicaId replica) -> bool;
auto retryBudget(const Shard& shard) -> const RetryBudget&;

/// Replaces the settings after a change of configuration; requests in the shard keep their targets.
auto updateSettings(Shard& shard, ShardSettings settings) -> void;

}
