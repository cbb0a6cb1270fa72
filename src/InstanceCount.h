#pragma once

/// Counts the live entry instances by the records that each of them periodically writes to the
/// platform's store, as a pure state machine. An instance that has written nothing for the lifetime is
/// not counted. Clocks of different instances are never compared.

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

    /// Time without a new revision after which an instance is not counted, in which three writes are due.
    Duration lifetime = std::chrono::seconds(60);
    std::map<std::string, Observation> instances;
};

/// Handles an instance's record that was read from the store.
auto recordInstance(InstanceCount& count, TimePoint now, const std::string& name, std::int64_t revision, std::optional<HttpEndpoint> endpoint = {}, std::string availabilityZone = {}) -> void;

/// @return the number of live instances including this one, at least 1.
auto liveInstances(const InstanceCount& count, TimePoint now) -> std::uint32_t;

/// @return the live instances whose records contain an address.
auto livePeers(const InstanceCount& count, TimePoint now) -> std::vector<PeerAddress>;

}
