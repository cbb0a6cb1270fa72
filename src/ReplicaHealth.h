#pragma once

/// Ejects replicas that fail repeatedly and readmits them.

#include "DecisionContext.h"
#include "FailureKind.h"

namespace jayhold {

/// Time in which the entry of a server that starts arrives, also from a slow store. It is written at the start, so it arrives
/// this long after the first response of its process at the latest.
inline constexpr Duration entryArrivalTime = std::chrono::milliseconds(250);

/// Sets the state of the replica. When a decode replica is no longer live, the slots reserved on it for
/// prefills in progress are released. The prefills continue and get other slots.
auto changeState(DecisionContext& context, Replica& replica, ReplicaState state) -> void;
/// Releases the slots of a decode replica that are reserved for prefills in progress, which get other slots.
auto releaseSlotsOfPrefills(DecisionContext& context, Replica& replica) -> void;
/// @param request the request that has succeeded on the replica.
auto recordSuccess(DecisionContext& context, ReplicaId id, RequestId request) -> void;
auto recordFailure(DecisionContext& context, ReplicaId id, FailureKind failure) -> void;

/// Records that the replica has responded, which does not show by which process.
auto recordReached(DecisionContext& context, ReplicaId id) -> void;
/// Records progress of a request that was given to the replica at a time. Its process is the same since.
auto recordSameProcess(DecisionContext& context, ReplicaId id, TimePoint givenAt) -> void;
/// @return when the replica's process counts as known: at once, unless a connection to it was lost or refused. The entry of
/// another process under the same id would have arrived then.
auto processKnownAt(const Replica& replica) -> TimePoint;

}
