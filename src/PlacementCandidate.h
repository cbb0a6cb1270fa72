#pragma once

/// What a shard knows of a replica when it places a request, and how the replica compares with the others.

#include "PlacementObstacle.h"
#include "ReplicaChanged.h"
#include "Reservation.h"
#include "Time.h"

#include <cstdint>
#include <optional>

namespace jayhold {

struct PlacementCandidate {
    ReplicaChanged description;
    /// What this instance has reserved.
    Reservation reserved;
    std::uint32_t ownRequests = 0;
    /// Usage by other instances.
    std::uint32_t peerSlots = 0;
    std::uint32_t peerMemoryBlocks = 0;
    std::uint32_t peerPrefillTokens = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t freeMemoryBlocks = 0;
    /// Memory blocks that must be free there for the request.
    std::uint32_t neededMemoryBlocks = 0;
    /// Relative to the mean of the service.
    double expectedSpeed = 1;
    /// Prompt tokens of the request that are expected in the cache.
    std::uint32_t cachedTokens = 0;
    /// Age of the last load report, and of the last observation or report of the speed; absent without one.
    std::optional<Duration> loadAge;
    std::optional<Duration> speedAge;
    /// Remaining time of the pause that the replica has asked for; zero if it is not paused.
    Duration pauseLeft {};
    /// Time until the limit that the replica has named allows the next call; absent without a limit.
    std::optional<Duration> nextCallIn;
    std::uint32_t consecutiveFailures = 0;
    /// Whether the replica is ejected after failures, may have crashed, or runs a request alone that may crash it.
    bool isSuspected = false;
    std::optional<PlacementObstacle> obstacle;
    /// Prefill replicas: time until the end of the prefill, with the cost of its zone.
    std::optional<Duration> prefillCost;
    /// Decode replicas: load at the replica's speed, as a fraction of its slots or memory.
    std::optional<double> decodeCost;
};

}
