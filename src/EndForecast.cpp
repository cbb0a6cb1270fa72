#include "EndForecast.h"

namespace jayhold {

namespace {

constexpr Duration step = std::chrono::milliseconds(20);

auto stepOf(TimePoint time) -> std::int64_t
{
    return time.time_since_epoch() / step;
}

}

auto EndForecast::move(RequestId request, TimePoint& current, TimePoint next) -> void
{
    if (current == next)
        return;
    if (current != TimePoint::max()) {
        m_ends.erase({ current, request });
        const auto count = m_counts.find(stepOf(current));
        if (--count->second == 0)
            m_counts.erase(count);
    }
    if (next != TimePoint::max()) {
        m_ends.emplace(next, request);
        ++m_counts[stepOf(next)];
    }
    current = next;
}

auto EndForecast::count(TimePoint from, TimePoint until) const -> std::uint32_t
{
    std::uint32_t total = 0;
    const auto end = m_counts.upper_bound(stepOf(until));
    for (auto entry = m_counts.lower_bound(stepOf(from)); entry != end; ++entry)
        total += entry->second;
    return total;
}

auto EndForecast::firstAfter(TimePoint time) const -> std::optional<RequestId>
{
    const auto found = m_ends.lower_bound({ time, RequestId {} });
    if (found == m_ends.end())
        return std::nullopt;
    return found->second;
}

}
