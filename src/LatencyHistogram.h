#pragma once

/// A histogram of durations with buckets of equal relative width, shared by threads.

#include "Time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace jayhold {

struct LatencyBucket {
    /// Upper limit, in seconds.
    double upperBoundSeconds;
    std::uint64_t count;
};

struct LatencySnapshot {
    /// Counts of the single buckets, in rising order.
    std::vector<LatencyBucket> buckets;
    /// All durations, those above the last bucket included.
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
