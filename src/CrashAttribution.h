#pragma once

/// Finds requests that crash each engine that runs them. All requests in flight at a crash become
/// suspects. A suspect runs again in isolation: its replicas get no other suspect and no new work until
/// it is past the point of the crash. If such a replica crashes, its suspect is blamed and the other
/// requests on it are not.

#include "DecisionContext.h"

namespace jayhold {

/// Records that the connection to the replica of the request broke, or that the replica is gone without
/// having left. Sets the request's crash suspicion.
auto recordCrash(DecisionContext& context, ActiveRequest& request, Replica& replica) -> void;
/// Handles evidence that the replica is running. If it continued work that it had before connections to
/// it broke, it did not crash, and the requests that lost their connections are no longer suspects.
auto clearSuspectsIfAlive(DecisionContext& context, const ActiveRequest& request, ReplicaId id) -> void;
/// Ends the isolation of a request that has got past the point of its crash.
/// @param isFinished whether its answer is complete.
auto clearSuspectAfterProgress(DecisionContext& context, ActiveRequest& request, bool isFinished) -> void;
/// @return whether the request must wait until peers can have reported their crashes, or until a copy of it
/// that was in flight at a crash has run again.
auto awaitsCrashReports(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// Reports a signature to the peers, and adds it to the list of blocked prompt parts, which also reaches instances that
/// start later or were cut off.
auto reportCrashSignature(DecisionContext& context, std::uint64_t signature) -> void;
/// Refuses all requests with the signature, now and for a limited time.
auto blockSignature(DecisionContext& context, std::uint64_t signature) -> void;
/// Records that a peer had a request with the signature in flight on a replica that crashed.
/// @param peerRetriesFirst whether the peer runs its request again before this instance does.
auto recordPeerCrash(DecisionContext& context, std::uint64_t signature, Replica& replica, bool peerRetriesFirst) -> void;
/// Refuses the requests whose signature was in flight at the crashes of two replicas.
auto blockBlamedSignatures(DecisionContext& context) -> void;
auto isBlocked(const DecisionContext& context, std::uint64_t signature) -> bool;

}
