#pragma once

/// Limits a simulated link to a byte rate. All transfers scheduled on one limiter share the rate,
/// such as the KV transfers out of a stand-in engine.

#include "Time.h"

#include <algorithm>
#include <cstdint>

namespace jayhold::standin {

class BandwidthLimiter {
public:
    explicit BandwidthLimiter(std::int64_t bytesPerSecond)
        : m_bytesPerSecond(static_cast<double>(std::max<std::int64_t>(bytesPerSecond, 1)))
    {
    }

    /// Schedules a transfer after those already scheduled.
    /// @return when its last byte has been sent.
    auto schedule(double bytes, TimePoint now) -> TimePoint
    {
        const std::chrono::duration<double> time(bytes / m_bytesPerSecond);
        m_idleAt = std::max(m_idleAt, now) + std::chrono::duration_cast<Duration>(time);
        return m_idleAt;
    }

private:
    const double m_bytesPerSecond;
    TimePoint m_idleAt {};
};

}
