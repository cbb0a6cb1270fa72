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
    /// Secret that peers show each other; callers must not reach the peer routes.
    std::string peerKey;
    std::uint64_t seed = 1;
    Duration gossipInterval = std::chrono::milliseconds(500);
    Duration suspectAfter = std::chrono::seconds(3);
    Duration instanceListInterval = std::chrono::seconds(1);
    std::uint32_t recordPartitions = 16;
};

}
