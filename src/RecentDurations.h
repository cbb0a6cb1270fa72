#pragma once

/// The durations of the most recent calls of one kind, for an estimate of the duration of the next one.

#include "Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace jayhold {

class RecentDurations {
public:
    auto record(Duration duration) -> void;

    /// @param quantile from 0 to 1, which is the longest duration.
    /// @return the duration at that quantile; nothing while too few calls have been recorded.
    auto quantile(double quantile) const -> std::optional<Duration>;

private:
    static constexpr std::size_t minDurations = 8;
    static constexpr std::size_t maxDurations = 128;

    std::array<Duration, maxDurations> m_durations {};
    /// Number of recorded calls, of which the array has the last ones.
    std::size_t m_recorded = 0;
};

}
