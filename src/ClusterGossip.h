#pragma once

/// Drives the membership state machine: sends a round of gossip in every interval and handles received
/// messages and replies. Private to the cluster library.

#include "ClusterCore.h"

namespace jayhold {

auto runGossip(ClusterPointer core) -> boost::asio::awaitable<void>;

/// Handles a peer's message.
/// @return the response with this instance's reply.
auto handleGossip(const ClusterPointer& core, const std::string& body) -> HttpResponse;

/// Records a crash signature and spreads it. The callback is called if the signature is new.
auto spreadSignature(const ClusterPointer& core, std::uint64_t signature) -> void;

/// Records a crash suspect and spreads it. The callback is called if the suspect is new.
auto spreadSuspect(const ClusterPointer& core, const CrashSuspect& suspect) -> void;

/// Records a report on a prompt and spreads it. The callback is called if the report is new.
auto spreadPromptReport(const ClusterPointer& core, const PromptReport& report) -> void;

/// Records that a backend server is leaving and spreads it.
auto spreadLeaving(const ClusterPointer& core, const std::string& backendId) -> void;

}
