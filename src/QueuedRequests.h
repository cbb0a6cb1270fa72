#pragma once

/// Puts requests into the queue and takes them out of it.

#include "DecisionContext.h"

namespace jayhold {

auto pushToQueue(ShardState& state, const ActiveRequest& request) -> void;
auto removeFromQueue(ShardState& state, const ActiveRequest& request) -> void;
/// Counts the waits for the retry budget again after a change of the settings.
auto recountRetryWaits(ShardState& state) -> void;
/// @return the number of requests that wait for capacity, not for the retry budget.
auto waitingForCapacity(const ShardState& state) -> std::size_t;

}
