#pragma once

/// Replicas that want no requests for some time, and their return.

#include "DecisionContext.h"
#include "ReplicaPaused.h"

namespace jayhold {

auto handle(DecisionContext& context, const ReplicaPaused& event) -> void;

/// @return whether the replica gets no requests now, or gets no further one until one has succeeded.
auto isPausedOrReturning(const Replica& replica, TimePoint now) -> bool;

/// Called when a request gets a slot of the replica.
auto recordFirstAfterPause(Replica& replica, RequestId request) -> void;
/// Called when the request has succeeded there.
auto recordReturn(DecisionContext& context, Replica& replica, RequestId request) -> void;
/// Called when the request leaves the replica.
auto forgetFirstAfterPause(Replica& replica, RequestId request, TimePoint now) -> void;

/// @return when replicas of each role that a request needs take work again if all of one role are paused, or the
/// current time.
auto pausesEndAt(const ShardState& state, TimePoint now) -> TimePoint;

}
