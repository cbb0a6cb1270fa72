#include "TimerQueue.h"

namespace jayhold {

auto TimerQueue::move(TimerOwner owner, TimePoint& current, TimePoint next) -> void
{
    if (current == next)
        return;
    if (current != TimePoint::max())
        m_timers.erase({ current, owner });
    if (next != TimePoint::max())
        m_timers.emplace(next, owner);
    current = next;
}

auto TimerQueue::popDue(TimePoint now) -> std::optional<TimerOwner>
{
    if (m_timers.empty() || m_timers.begin()->first > now)
        return std::nullopt;
    const auto owner = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    return owner;
}

auto TimerQueue::next() const -> TimePoint
{
    return m_timers.empty() ? TimePoint::max() : m_timers.begin()->first;
}

}
