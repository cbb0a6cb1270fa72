#pragma once

/// One request of a caller. All requests are generated before the run so that every arm sees the same
/// load.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold::bench {

struct CallerRequest {
    TimePoint arrival;
    ZoneId zone {};
    /// Random number that selects the entry instance within the zone, also for repeats.
    std::uint64_t instanceDraw = 0;
    KindId kind {};
    CustomerId customer {};
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t signature = 0;
    /// Time after the arrival at which the caller cancels the request.
    std::optional<Duration> cancelAfter;
    bool crashesEngines = false;

    /// Whether the request counts for goodput. Cancelled and crashing requests cannot meet their targets.
    auto countsForGoodput() const -> bool { return !cancelAfter && !crashesEngines; }
};

}
