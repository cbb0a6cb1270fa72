#pragma once

/// The link that carries KV cache out of a stand-in engine: its transfers share one rate.

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

    /// Appends bytes to what the link has to carry.
    /// @return when the last of them has been carried.
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
