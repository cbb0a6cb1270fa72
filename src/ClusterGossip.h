#pragma once

/// Drives the membership state machine: sends a round of gossip in every interval and takes in
/// messages and replies. Private to the cluster library.

#include "ClusterCore.h"

namespace jayhold {

auto runGossip(ClusterPointer core) -> boost::asio::awaitable<void>;

/// Takes in a peer's message and answers it.
auto answerGossip(const ClusterPointer& core, const std::string& body) -> HttpResponse;

/// Learns a signature and passes it on; the callback is called if it is new.
auto spreadSignature(const ClusterPointer& core, std::uint64_t signature) -> void;

/// Learns of a suspect of a crash and passes it on; the callback is called if it is new.
auto spreadSuspect(const ClusterPointer& core, const CrashSuspect& suspect) -> void;

/// Learns that a backend server is leaving and passes it on.
auto spreadLeaving(const ClusterPointer& core, const std::string& backendId) -> void;

}
