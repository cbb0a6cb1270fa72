#include "StallMeter.h"

#include <algorithm>

namespace jayhold::soak {

StallMeter::StallMeter()
{
    m_thread = std::thread([this] {
        constexpr Duration interval = std::chrono::milliseconds(20);
        while (!m_isStopping) {
            const auto expected = monotonicNow() + interval;
            std::this_thread::sleep_for(interval);
            const auto now = monotonicNow();
            m_longest = std::max(m_longest.load(), Duration(now - expected));
            if (now - expected >= minReportedStall)
                record({ "soak", now, now - expected, {} });
        }
    });
}

StallMeter::~StallMeter()
{
    m_isStopping = true;
    m_thread.join();
}

auto StallMeter::recorder(std::string process) -> std::function<void(const LoopStall&)>
{
    return [this, process = std::move(process)](const LoopStall& stall) { record({ process, monotonicNow(), stall.lateness, describe(stall) }); };
}

auto StallMeter::record(ProcessStall stall) -> void
{
    const std::lock_guard guard(m_lock);
    m_stalls.push_back(std::move(stall));
}

auto StallMeter::stalls() const -> std::vector<ProcessStall>
{
    const std::lock_guard guard(m_lock);
    return m_stalls;
}

}
