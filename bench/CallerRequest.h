#pragma once

/// One request of a caller, drawn before the run so that every arm sees the same load.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold::bench {

struct CallerRequest {
    TimePoint arrival;
    ZoneId zone {};
    /// Draws the entry instance of the zone, and later ones of repeats.
    std::uint64_t instanceDraw = 0;
    KindId kind {};
    CustomerId customer {};
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t signature = 0;
    /// The caller goes away this long after its arrival.
    std::optional<Duration> cancelAfter;
    bool crashesEngines = false;

    /// Whether it counts for goodput: cancelled and crashing requests can't be answered well.
    auto countsForGoodput() const -> bool { return !cancelAfter && !crashesEngines; }
};

}
