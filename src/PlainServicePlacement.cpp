#include "ApiError.h"
#include "PlainService.h"

#include <algorithm>

namespace jayhold {

namespace {

auto refusal(std::string_view type, Duration retryAfter) -> PlainPlacement::Refusal
{
    return { std::string(type), retryAfter };
}

}

auto PlainService::explainPlacement(PlainCallInfo call) const -> PlainPlacement
{
    const auto endsAt = requestsEndAt(m_context);
    call.deadline = std::min(call.deadline, endsAt);
    const auto isRefusedByDrain = monotonicNow() >= endsAt || !canEndBeforeExit(call);
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    PlainPlacement placement { .decision = decisionLocked(call, now), .candidates = m_balancer.candidates(now), .waiting = m_waiting.size(), .callTime = meanCallTimeLocked(call) };
    if (isRefusedByDrain)
        placement.decision = refusal(jayhold::name(RefusalReason::Draining), plainRetryDelay);
    placement.waitingBefore = checkSlotLocked(call, CallState {}, m_lastWaiting + 1, now).before;
    std::ranges::sort(placement.candidates, {}, [](const PlainCandidate& candidate) { return std::tuple(candidate.obstacle.has_value(), !candidate.backend.isLocal, candidate.cost); });
    if (placement.candidates.size() > maxListedPlainServers)
        placement.candidates.resize(maxListedPlainServers);
    return placement;
}

auto PlainService::decisionLocked(const PlainCallInfo& call, TimePoint now) const -> decltype(PlainPlacement::decision)
{
    // A call without a signature is neither blocked nor suspected.
    const CallState arriving {};
    const auto first = firstStepLocked(call, arriving, false);
    const auto callTime = meanCallTimeLocked(call);
    if (const auto* server = first.takesServer ? m_balancer.choose(now, {}, callTime) : nullptr)
        return PlainPlacement::Send { server->server.id };
    const auto slot = first.mayAwaitSlot ? checkSlotLocked(call, arriving, m_lastWaiting + 1, now).decision : SlotDecision {};
    if (slot.step == SlotStep::Take)
        return PlainPlacement::Send { m_balancer.choose(now, {}, callTime)->server.id };
    if (slot.step == SlotStep::Wait)
        return PlainPlacement::Wait { *slot.wait };
    if (slot.wait)
        return refusal(jayhold::name(RefusalReason::Overloaded), std::max(*slot.wait, minSlotRetryDelay));
    return refusal("no_backend", retryDelayOfCallLocked(now, plainRetryDelay));
}

}
