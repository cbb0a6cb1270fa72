#pragma once

/// Counts the live entry instances by the records that each keeps writing to the platform's store, as
/// a pure state machine. An instance that has written nothing for some time is gone; clocks of
/// different instances are never compared.

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
        /// When this revision was first seen here.
        TimePoint observedAt {};
        /// Where its peers reach it; absent where its record does not say.
        std::optional<HttpEndpoint> endpoint;
        std::string availabilityZone;
    };

    /// Three missed writes.
    Duration lifetime = std::chrono::seconds(60);
    std::map<std::string, Observation> instances;
};

/// An instance's record was read.
auto recordInstance(InstanceCount& count, TimePoint now, const std::string& name, std::int64_t revision, std::optional<HttpEndpoint> endpoint = {}, std::string availabilityZone = {}) -> void;

/// @return live instances, this one included, which is at least 1.
auto liveInstances(const InstanceCount& count, TimePoint now) -> std::uint32_t;

/// @return the live instances that gave an address.
auto livePeers(const InstanceCount& count, TimePoint now) -> std::vector<PeerAddress>;

}
