#pragma once

/// A thread-safe histogram of durations with buckets of equal relative width.

#include "Time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace jayhold {

struct LatencyBucket {
    double upperBoundSeconds;
    std::uint64_t count;
};

struct LatencySnapshot {
    /// The buckets in ascending order; their counts are not cumulative.
    std::vector<LatencyBucket> buckets;
    /// Number of all durations, including those above the last bucket.
    std::uint64_t total = 0;
    double sumSeconds = 0;
};

class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram&) = delete;
    auto operator=(const LatencyHistogram&) -> LatencyHistogram& = delete;

    auto record(Duration duration) -> void;
    auto snapshot() const -> LatencySnapshot;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

}
