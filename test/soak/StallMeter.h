#pragma once

/// Measures for how long the threads of the soak stand still. A stall of seconds explains requests and shutdowns that are
/// late in all fleets of the machine at once.

#include "LoopMonitor.h"
#include "Stalls.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace jayhold::soak {

class StallMeter {
public:
    StallMeter();
    ~StallMeter();
    StallMeter(const StallMeter&) = delete;
    auto operator=(const StallMeter&) -> StallMeter& = delete;

    /// @return a function that records the stalls of other threads of the soak.
    auto recorder(std::string process) -> std::function<void(const LoopStall&)>;

    /// @return the longest time by which a wait of the meter's own thread took longer than asked.
    auto longest() const -> Duration { return m_longest; }
    auto stalls() const -> std::vector<ProcessStall>;

private:
    auto record(ProcessStall stall) -> void;

    std::atomic<bool> m_isStopping { false };
    std::atomic<Duration> m_longest { Duration::zero() };
    mutable std::mutex m_lock;
    std::vector<ProcessStall> m_stalls;
    std::thread m_thread;
};

}
