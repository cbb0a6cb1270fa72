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

auto PlainService::medianDurationLocked(const PlainCallInfo& call) const -> std::optional<Duration>
{
    const auto durations = m_durations.find(call.kind.name);
    return durations == m_durations.end() ? std::nullopt : durations->second.quantile(medianQuantile);
}

auto PlainService::awaitsSlotAgain(const PlainCallInfo& call, CallState& state, const PlainAttempt& last) -> bool
{
    if (!last.isRejected || state.executions > 0 || state.retriableBackends > 0)
        return false;
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    const auto duration = medianDurationLocked(call);
    if (!ordersCallsLocked(call) || !duration || m_budget.remaining() < 1)
        return false;
    const auto excluded = state.excludedBackends();
    if (excluded.size() < maxBackendsPerCall && m_balancer.freeSlots(now, excluded) > 0)
        return false;
    state.isRejectedByAll = true;
    state.retriableBackends = state.triedBackends.size();
    state.retryAt = now + waitAfterRejection(*duration);
    return true;
}

auto PlainService::checkSlotLocked(const PlainCallInfo& call, const CallState& state, std::uint64_t id, TimePoint now) const -> SlotCheck
{
    const auto excluded = state.excludedBackends();
    const auto duration = medianDurationLocked(call);
    const auto work = workOfLocked(call, duration.value_or(Duration::zero()), id);
    const auto cost = callerCost(work, now);
    const auto before = m_waiting.countBefore(cost);
    const SlotInputs inputs {
        .work = work,
        .duration = duration,
        .before = before,
        .overtaking = m_waiting.countOvertaking(cost),
        .slots = m_balancer.slots(now, excluded),
        .freeSlots = m_balancer.freeSlots(now, excluded),
        .isRejected = state.isRejectedByAll,
        .retryAt = state.retryAt,
        .hasRetry = m_budget.remaining() >= 1,
    };
    return { decideSlot(inputs, now), cost, before };
}

auto PlainService::tryTakeSlot(const PlainCallInfo& call, const CallState& state, std::uint64_t id) -> SlotAttempt
{
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    SlotAttempt attempt { checkSlotLocked(call, state, id, now) };
    if (attempt.check.decision.step == SlotStep::Take) {
        attempt.server = m_balancer.acquire(now, state.excludedBackends(), meanCallTimeLocked(call));
        // The retry is taken when the call is sent again, so that a call that waits in vain takes none.
        if (attempt.server && state.isRejectedByAll)
            m_budget.tryConsume();
    } else if (attempt.check.decision.step == SlotStep::Wait) {
        m_waiting.enter(attempt.check.cost);
    }
    return attempt;
}

auto PlainService::recordSlotRefusal(const PlainCallInfo& call, const SlotCheck& check) -> void
{
    m_metrics->slotWaitsRefused.fetch_add(1, std::memory_order_relaxed);
    if (!check.decision.isDisplaced)
        return;
    const auto rank = toString(RequestRank { call.customerPriority, call.kind.priority });
    m_context.metrics.countDisplaced(m_name, call.kind.name, rank);
    record(LogLevel::Info, call, "request_displaced", { { "rank", rank }, { "before", check.before }, { "waited_ms", (monotonicNow() - call.arrivedAt).count() / 1'000 } });
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
        auto [check, server] = tryTakeSlot(call, state, id);
        if (server) {
            m_metrics->slotWaitsServed.fetch_add(hasWaited, std::memory_order_relaxed);
            co_return std::move(server);
        }
        // For a rejected call, the expected wait lacks the calls of other instances, so it is no delay for the caller.
        if (check.decision.wait && !state.isRejectedByAll)
            last.slotWait = check.decision.wait;
        if (check.decision.step != SlotStep::Wait) {
            if (last.slotWait)
                last.detail = "no slot is expected in time";
            if (hasWaited)
                recordSlotRefusal(call, check);
            co_return std::nullopt;
        }
        if (!hasWaited) {
            m_metrics->slotWaits.fetch_add(1, std::memory_order_relaxed);
            record(LogLevel::Info, call, "slot_awaited", { { "before", check.before }, { "wait_ms", check.decision.wait->count() / 1'000 }, { "rejected", state.isRejectedByAll } });
        }
        hasWaited = true;
        co_await pause(slotCheckInterval);
    }
    m_metrics->slotWaitsCancelled.fetch_add(hasWaited, std::memory_order_relaxed);
    co_return std::nullopt;
}

}
