#include "PlainService.h"

#include "Pause.h"

#include <algorithm>
#include <memory>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Calls last some ten milliseconds.
constexpr Duration slotCheckInterval = std::chrono::milliseconds(5);
constexpr double medianQuantile = 0.5;

}

auto PlainService::ordersCallsLocked(const PlainCallInfo& call) const -> bool
{
    return m_hasSeveralPriorities || !call.customer.empty();
}

auto PlainService::workOfLocked(const PlainCallInfo& call, Duration duration, std::uint64_t id) const -> RequestWork
{
    return {
        .rank = { call.customerPriority, call.kind.priority },
        .arrivedAt = call.arrivedAt,
        .latestOnTimeStart = call.arrivedAt + std::chrono::duration_cast<Duration>(call.kind.firstToken) - duration,
        .deadline = call.deadline,
        .allowedTime = std::chrono::duration_cast<Duration>(call.kind.deadline),
        .outputTokens = 1,
        .outputTokensLeft = 1,
        .outputTokenTime = duration,
        .id = id,
    };
}

auto PlainService::slotStepLocked(const PlainCallInfo& call, std::span<const std::string> tried, std::uint64_t id, TimePoint now) const -> SlotStep
{
    const auto durations = m_durations.find(call.kind.name);
    const auto duration = durations == m_durations.end() ? std::nullopt : durations->second.quantile(medianQuantile);
    const auto work = workOfLocked(call, duration.value_or(Duration::zero()), id);
    SlotStep step { .cost = callerCost(work, now) };
    step.before = m_waiting.countBefore(step.cost);
    step.takesServer = m_balancer.freeSlots(now, tried) > step.before && m_balancer.choose(now, tried, meanCallTimeLocked(call));
    const PlainSlots slots { m_balancer.slots(now, tried), duration.value_or(Duration::zero()) };
    // Without servers that take calls, or without an estimate, nothing is known about the next slot.
    if (step.takesServer || !slots.slots || !duration)
        return step;
    step.wait = expectedSlotWait(slots, step.before);
    step.mayWait = canWaitForSlot(work, now, *step.wait, *duration);
    return step;
}

auto PlainService::awaitSlot(const PlainCallInfo& call, const CallState& state, PlainAttempt& last) -> asio::awaitable<std::optional<BackendServer>>
{
    std::uint64_t id = 0;
    {
        const std::lock_guard guard(m_lock);
        id = ++m_lastWaiting;
    }
    const auto leave = [this, id](void*) {
        const std::lock_guard guard(m_lock);
        m_waiting.leave(id);
    };
    const std::unique_ptr<void, decltype(leave)> leaveAtEnd(this, leave);
    auto hasWaited = false;
    while (!state.isCallerDisconnected) {
        std::size_t before = 0;
        {
            const std::lock_guard guard(m_lock);
            const auto now = monotonicNow();
            const auto step = slotStepLocked(call, state.triedBackends, id, now);
            before = step.before;
            if (step.takesServer)
                co_return m_balancer.acquire(now, state.triedBackends, meanCallTimeLocked(call));
            if (!step.wait)
                co_return std::nullopt;
            last.slotWait = step.wait;
            if (!step.mayWait) {
                last.detail = "no slot is expected in time";
                co_return std::nullopt;
            }
            m_waiting.enter(step.cost);
        }
        if (!hasWaited)
            record(LogLevel::Info, call, "slot_awaited", { { "before", before }, { "wait_ms", last.slotWait->count() / 1'000 } });
        hasWaited = true;
        co_await pause(slotCheckInterval);
    }
    co_return std::nullopt;
}

}
