#pragma once

/// Results of the requests of one kind as seen by their callers.

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
    /// Times to first token in milliseconds, of all requests that received one.
    std::vector<float> firstTokens;
    /// Token gaps in milliseconds, of all tokens after the first.
    std::vector<float> gaps;
};

/// @return the quantile of the values for the given fraction, or 0 without values. Reorders the values.
auto quantile(std::vector<float>& values, double share) -> double;

}
