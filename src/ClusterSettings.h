#pragma once

/// Settings of an instance's part in the cluster.

#include "HttpEndpoint.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

struct ClusterSettings {
    /// Unique among entry instances; a restarted process may keep it.
    std::string instance;
    std::string availabilityZone;
    /// Where peers reach this instance.
    HttpEndpoint peerEndpoint;
    /// Addresses of the platform's service, tried in turn.
    std::vector<HttpEndpoint> platform;
    /// Peers to ask first. The instance list names the peers too, but it can't be read when an
    /// instance starts during an outage of the platform.
    std::vector<HttpEndpoint> seedPeers;
    /// Secret that peers show each other; callers must not reach the peer routes.
    std::string peerKey;
    std::uint64_t seed = 1;
    Duration gossipInterval = std::chrono::milliseconds(500);
    Duration suspectAfter = std::chrono::seconds(3);
    Duration instanceListInterval = std::chrono::seconds(1);
    std::uint32_t recordPartitions = 16;
    /// How long the key of an at-most-once call is remembered. A repeat after that runs again.
    Duration recordRetention = std::chrono::hours(24);
    /// A record that stays started for longer answers "unknown".
    Duration recordStartedLimit = std::chrono::minutes(5);
    /// Longest time that a begin or a finish of a record may take.
    Duration recordTimeout = std::chrono::seconds(2);
    /// Longest time for one call to the platform.
    Duration platformTimeout = std::chrono::seconds(1);
    /// Calls to the platform that this instance may make, per second. 850 instances share about
    /// 2,000 reads per second, but only two in each zone poll and only owners write.
    double platformCallsPerSecond = 100;
};

}
