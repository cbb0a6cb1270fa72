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

auto PlainWaiting::countOvertaking(const CallerCost& cost) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_waiting, [&](const CallerCost& other) { return other.id != cost.id && other > cost && other.arrivedAt > cost.arrivedAt; }));
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

auto waitAfterRejection(Duration duration) -> Duration
{
    return duration / 2;
}

auto decideSlot(const SlotInputs& inputs, TimePoint now) -> SlotDecision
{
    if (inputs.isRejected && (!inputs.duration || !inputs.hasRetry))
        return {};
    if (inputs.freeSlots > inputs.before && inputs.retryAt <= now)
        return { SlotStep::Take };
    // Without servers that take calls, or without an estimate, nothing is known about the next slot.
    if (!inputs.slots || !inputs.duration)
        return {};
    const auto waitBehind = [&](std::size_t before) { return std::max(expectedSlotWait({ inputs.slots, *inputs.duration }, before), inputs.retryAt - now); };
    const auto canWaitBehind = [&](std::size_t before) { return canWaitForSlot(inputs.work, now, waitBehind(before), *inputs.duration); };
    if (canWaitBehind(inputs.before))
        return { SlotStep::Wait, waitBehind(inputs.before) };
    return { SlotStep::Refuse, waitBehind(inputs.before), inputs.overtaking > 0 && canWaitBehind(inputs.before - inputs.overtaking) };
}

}
