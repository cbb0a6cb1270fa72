#pragma once

/// What the callers of one kind saw.

#include <cstdint>
#include <vector>

namespace jayhold::bench {

struct KindMetrics {
    /// Requests that count for goodput, and those of them that met both targets.
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t finished = 0;
    /// Finished requests that missed only one of the targets.
    std::uint64_t lateFirstToken = 0;
    std::uint64_t slowTokens = 0;
    /// Milliseconds, over all requests that got a first token.
    std::vector<float> firstTokens;
    /// Milliseconds, over all tokens.
    std::vector<float> gaps;
};

/// @return the value below which this share of the values lies; 0 without values.
auto quantile(std::vector<float>& values, double share) -> double;

}
