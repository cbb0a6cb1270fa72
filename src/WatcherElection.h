#pragma once

/// Election of the watchers of a zone, as a pure state machine. It decides whether an instance watches
/// the platform's store itself or relies on the updates of its zone's watchers. A watch costs the store a
/// call for each change, so if all instances watched, the calls of a zone would grow with the number of
/// instances times the number of changes. Datagrams between instances can be lost and watchers can die,
/// so an instance that receives messages of no watcher becomes a watcher itself.

#include "Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace jayhold {

struct WatcherElectionSettings {
    /// With three watchers, two can fail at the same time and changes still arrive without delay.
    std::size_t watchersPerZone = 3;
    /// Time after which a watcher that sends no message is no longer counted. It normally sends three
    /// messages in this time.
    Duration watcherTimeout = std::chrono::seconds(1);
    /// Maximum delay before an instance that finds too few watchers becomes one. Each instance has its
    /// own fraction of it, so that only one of them replaces a missing watcher.
    Duration maxElectionDelay = std::chrono::milliseconds(600);
};

struct WatcherElection {
    WatcherElectionSettings settings;
    /// Name of this instance.
    std::string instance;
    /// Whether this instance is a watcher. It starts as one and steps down once enough watchers precede
    /// it by name.
    bool isWatching = true;
    /// Time of the last message of each other watcher of the zone.
    std::map<std::string, TimePoint> watchers;
    /// Since when there are too few watchers, or the epoch while there are enough.
    TimePoint watcherShortageSince {};
};

/// Handles another instance's report of whether its watches are connected.
auto updateWatcher(WatcherElection& election, TimePoint now, const std::string& instance, bool isConnected) -> void;

/// @return the number of watchers whose names sort before this instance's.
auto precedingWatchers(const WatcherElection& election) -> std::size_t;

/// Decides whether this instance is a watcher now.
/// @return whether the decision has changed.
auto updateElection(WatcherElection& election, TimePoint now) -> bool;

}
