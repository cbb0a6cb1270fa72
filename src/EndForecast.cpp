#include "EndForecast.h"

namespace jayhold {

auto EndForecast::move(RequestId request, TimePoint& current, TimePoint next) -> void
{
    if (current == next)
        return;
    if (current != TimePoint::max()) {
        const auto step = m_steps.find(stepOf(current));
        if (--step->second.count == 0)
            m_steps.erase(step);
    }
    if (next != TimePoint::max()) {
        auto& step = m_steps[stepOf(next)];
        ++step.count;
        step.latest = request;
    }
    current = next;
}

auto EndForecast::count(TimePoint from, TimePoint until) const -> std::uint32_t
{
    std::uint32_t total = 0;
    const auto end = m_steps.upper_bound(stepOf(until));
    for (auto step = m_steps.lower_bound(stepOf(from)); step != end; ++step)
        total += step->second.count;
    return total;
}

}
