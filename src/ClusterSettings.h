#pragma once

/// Settings of an entry instance's cluster node.

#include "HttpEndpoint.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

struct ClusterSettings {
    /// Unique among entry instances. A restarted process may reuse it.
    std::string instance;
    std::string availabilityZone;
    /// Address at which peers reach this instance.
    HttpEndpoint peerEndpoint;
    /// Addresses of the platform's service, which are tried in order.
    std::vector<HttpEndpoint> platform;
    /// Addresses of the first peers to contact. The instance list names the peers as well, but it can't
    /// be read when an instance starts during an outage of the platform.
    std::vector<HttpEndpoint> seedPeers;
    /// Secret that peers present to each other, so that callers can't use the peer routes.
    std::string peerKey;
    std::uint64_t seed = 1;
    Duration gossipInterval = std::chrono::milliseconds(500);
    Duration suspectAfter = std::chrono::seconds(3);
    Duration instanceListInterval = std::chrono::seconds(1);
    std::uint32_t recordPartitions = 16;
    /// How long the record of an at-most-once call is kept. A later repeat runs again.
    Duration recordRetention = std::chrono::hours(24);
    /// After this time, repeats of a call whose record is still started get "unknown".
    Duration recordStartedLimit = std::chrono::minutes(5);
    /// Timeout for beginning or finishing a record.
    Duration recordTimeout = std::chrono::seconds(2);
    /// Timeout for one call to the platform.
    Duration platformTimeout = std::chrono::seconds(1);
    /// Maximum rate of this instance's calls to the platform. 850 instances share about 2,000 reads per
    /// second, but only two in each zone poll and only owners write.
    double platformCallsPerSecond = 100;
};

}
