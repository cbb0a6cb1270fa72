#pragma once

/// Decides whether an instance watches the platform's store itself or is told of changes by instances
/// of its zone that do, as a pure state machine. A watch costs the store a call for each change, so the
/// calls of a zone would grow with its instances times the changes. Datagrams between instances can be
/// lost and watchers can die; an instance that hears of no watcher watches by itself.

#include "Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace jayhold {

struct WatcherElectionSettings {
    /// With three, two can fail at the same moment and changes still arrive without delay.
    std::size_t watchersPerZone = 3;
    /// A watcher that is silent for longer counts no more: three of its messages are missing.
    Duration watcherTimeout = std::chrono::seconds(1);
    /// Instances that find too few watchers wait for up to this time, each for another part of it, so
    /// that one of them takes the place and not all.
    Duration maxElectionDelay = std::chrono::milliseconds(600);
};

struct WatcherElection {
    WatcherElectionSettings settings;
    /// Name of this instance.
    std::string instance;
    /// Whether this instance watches; it does so until it hears of enough others.
    bool isWatching = true;
    /// When the other watchers of the zone were last heard.
    std::map<std::string, TimePoint> watchers;
    /// Since when there are too few; the epoch while there are enough.
    TimePoint understaffedSince {};
};

/// An instance of the zone has told whether its watches are connected.
auto updateWatcher(WatcherElection& duty, TimePoint now, const std::string& instance, bool isWatching) -> void;

/// Starts or ends the duty to watch, where it is time.
/// @return whether it changed.
auto updateElection(WatcherElection& duty, TimePoint now) -> bool;

}
