#pragma once

/// Finds the request that crashes each engine that runs it. All requests in flight at a crash become
/// suspects. A suspect runs again alone of its kind: its replicas get no other suspect and no new
/// work until it is past the point of the crash. If such a replica crashes, its suspect is to blame
/// and what else ran there is not.

#include "DecisionContext.h"

namespace jayhold {

/// The connection to the replica that runs the request broke, or the replica is gone without having
/// left; sets the request's verdict.
auto recordCrash(DecisionContext& context, ActiveRequest& request, Replica& replica) -> void;
/// The replica answered the request. If that work was there before connections to the replica broke,
/// it did not crash, and those who lost their connections are no suspects.
auto clearSuspectsIfAlive(DecisionContext& context, const ActiveRequest& request, ReplicaId id) -> void;
/// Ends the probation of a request that has got past the point where it ran into a crash.
auto clearSuspectAfterProgress(DecisionContext& context, ActiveRequest& request) -> void;
/// @return whether the request has to wait until peers have told of their crashes.
auto awaitsCrashReports(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// Refuses all requests with the signature, now and for some time.
auto blockSignature(DecisionContext& context, std::uint64_t signature) -> void;
/// A peer had a request with the signature in flight on a replica that crashed.
/// @param peerRetriesFirst whether the peer runs its request again before this instance does.
auto recordPeerCrash(DecisionContext& context, std::uint64_t signature, Replica& replica, bool peerRetriesFirst) -> void;
/// Refuses the requests whose signature was in flight at the crashes of two replicas.
auto blockBlamedSignatures(DecisionContext& context) -> void;
auto isBlocked(const DecisionContext& context, std::uint64_t signature) -> bool;

}
