#include "PlainWaiting.h"

#include <algorithm>

namespace jayhold {

auto PlainWaiting::enter(const CallerCost& cost) -> void
{
    leave(cost.id);
    m_waiting.push_back(cost);
}

auto PlainWaiting::leave(std::uint64_t id) -> void
{
    std::erase_if(m_waiting, [&](const CallerCost& cost) { return cost.id == id; });
}

auto PlainWaiting::countBefore(const CallerCost& cost) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_waiting, [&](const CallerCost& other) { return other.id != cost.id && other > cost; }));
}

auto expectedSlotWait(const PlainSlots& slots, std::size_t before) -> Duration
{
    if (!slots.slots)
        return Duration::max();
    return slots.duration * static_cast<Duration::rep>(before + 1) / static_cast<Duration::rep>(slots.slots);
}

auto canWaitForSlot(const RequestWork& work, TimePoint now, Duration wait, Duration duration) -> bool
{
    if (wait == Duration::max())
        return false;
    return now + wait <= work.latestOnTimeStart && now + wait + duration <= work.deadline;
}

}
