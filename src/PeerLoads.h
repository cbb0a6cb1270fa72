#pragma once

/// The reservations that the peers have reported, as a pure state machine. Messages can be lost,
/// duplicated or reordered. The report of a silent peer counts for a short time only.

#include "LoadMessage.h"
#include "Time.h"

#include <map>
#include <string>
#include <vector>

namespace jayhold {

struct PeerLoads {
    struct PeerReport {
        std::string incarnation;
        std::uint64_t sequence = 0;
        TimePoint receivedAt {};
        std::vector<BackendUsage> usages;
    };

    /// Time for which a report counts: twice the maximum interval between messages of a live instance.
    Duration lifetime = std::chrono::seconds(2);
    /// Several times the instances of the largest fleet. Further names are not taken from messages.
    std::size_t maxInstances = 4'096;
    /// Maximum number of reservations of all instances together; messages beyond it are ignored. 65,536 with names of 60
    /// bytes took 27 MB with their sum. 87 instances that all use 89 engines have 7,743.
    std::size_t maxUsages = 32'768;
    std::map<std::string, PeerReport> instances;
    /// Reservations in the reports of all instances.
    std::size_t usages = 0;
};

/// Applies a message if it is newer than the last report of its sender.
/// @return whether the message is newer.
auto applyMessage(PeerLoads& loads, TimePoint now, LoadMessage message) -> bool;

/// Removes instances whose last report is older than the lifetime.
/// @return whether any instance was removed.
auto removeSilentInstances(PeerLoads& loads, TimePoint now) -> bool;

/// @return the sum of the reservations of all instances, by backend server.
auto totalUsage(const PeerLoads& loads) -> std::vector<BackendUsage>;

}
