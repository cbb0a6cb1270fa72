#pragma once

/// What the other entry instances have told of their reservations, as a pure state machine. Messages
/// can be lost, doubled or out of order; an instance that falls silent counts for a short time only.

#include "LoadMessage.h"
#include "Time.h"

#include <map>
#include <string>
#include <vector>

namespace jayhold {

struct PeerLoads {
    struct PeerReport {
        std::string run;
        std::uint64_t sequence = 0;
        TimePoint receivedAt {};
        std::vector<BackendUsage> uses;
    };

    /// Twice the longest time between two messages of a live instance.
    Duration lifetime = std::chrono::seconds(2);
    std::map<std::string, PeerReport> instances;
};

/// @return whether the message is newer than what its sender told before.
auto applyMessage(PeerLoads& loads, TimePoint now, LoadMessage message) -> bool;

/// Forgets instances that have been silent for too long.
/// @return whether there was one.
auto removeSilentInstances(PeerLoads& loads, TimePoint now) -> bool;

/// @return the sum over all instances, by backend server.
auto totalUse(const PeerLoads& loads) -> std::vector<BackendUsage>;

}
