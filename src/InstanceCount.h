#pragma once

/// Counts the live entry instances, as a pure state machine: by the records that each of them periodically
/// writes to the platform's store, and by the messages that they send to each other. An instance that has
/// done neither for the lifetime is not counted. Clocks of different instances are never compared.

#include "PeerAddress.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

struct InstanceCount {
    struct Observation {
        std::int64_t revision = 0;
        /// When this instance first observed the revision.
        TimePoint observedAt {};
        /// Address at which its peers reach it; absent if its record contains none.
        std::optional<HttpEndpoint> endpoint;
        std::string availabilityZone;
    };

    /// Time without a new revision or message after which an instance is not counted, in which three writes
    /// are due.
    Duration lifetime = std::chrono::seconds(60);
    /// Time between two lists of the records up to which an unchanged record counts against its instance.
    Duration maxListInterval = std::chrono::seconds(30);
    std::map<std::string, Observation> instances;
    /// Time of the last message of each instance.
    std::map<std::string, TimePoint> heardAt;
    /// When the records were last listed.
    std::optional<TimePoint> listedAt;
};

/// Prepares for the records of a list that has just been read. While no list could be read, the other
/// instances may not have been able to write either, so that time does not count against them.
auto beginList(InstanceCount& count, TimePoint now) -> void;

/// Handles an instance's record that was read from the store.
auto recordInstance(InstanceCount& count, TimePoint now, const std::string& name, std::int64_t revision, std::optional<HttpEndpoint> endpoint = {}, std::string availabilityZone = {}) -> void;

/// Handles a message of an instance.
/// @return whether the instance was not counted before.
auto recordMessage(InstanceCount& count, TimePoint now, const std::string& name) -> bool;

/// @return the names of the live instances, sorted.
auto liveInstanceNames(const InstanceCount& count, TimePoint now) -> std::vector<std::string>;

/// @return the number of live instances including this one, at least 1.
auto liveInstances(const InstanceCount& count, TimePoint now) -> std::uint32_t;

/// @return the live instances whose records contain an address.
auto livePeers(const InstanceCount& count, TimePoint now) -> std::vector<PeerAddress>;

}
