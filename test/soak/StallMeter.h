#pragma once

/// Measures for how long the machine lets a thread of the soak wait. A stall of seconds explains requests and shutdowns
/// that are late in all fleets of the machine at once.

#include "Time.h"

#include <atomic>
#include <thread>

namespace jayhold::soak {

class StallMeter {
public:
    StallMeter();
    ~StallMeter();
    StallMeter(const StallMeter&) = delete;
    auto operator=(const StallMeter&) -> StallMeter& = delete;

    /// @return the longest time by which a wait took longer than asked.
    auto longest() const -> Duration { return m_longest; }

private:
    std::atomic<bool> m_isStopping { false };
    std::atomic<Duration> m_longest { Duration::zero() };
    std::thread m_thread;
};

}
