#include "ShardModel.h"
#include "ShardModelSteps.h"

#include "DecisionContext.h"
#include "ShardState.h"

#include <rapidcheck.h>

namespace jayhold::test {

auto ShardModel::beSilent(const ModelStep& step) -> void
{
    const auto isPrefill = step.third % 4 == 0;
    if (isPrefill ? m_prefills.empty() : m_decodes.empty())
        return;
    const auto id = isPrefill ? pick(m_prefills, step).request : pick(m_decodes, step).request;
    const auto attempt = isPrefill ? pick(m_prefills, step).attempt : pick(m_decodes, step).attempt;
    auto& request = m_requests.at(id);
    // An engine is called, and can be silent, only after it has reserved the slot.
    deliverToRequest(id, attempt, SlotReserved { id, attempt });
    // Timers that are due run first, so that only the effect of the event shows.
    deliver(Tick {});
    const auto before = request.attempt;
    const auto wasAnswered = request.answered;
    const auto* active = findRequest(*m_harness.shard.state, id);
    const auto wasWaiting = active && active->phase == RequestPhase::Queued;
    deliverToRequest(id, attempt, AttemptSilent { id, attempt, request.sent });
    if (m_reservesSlots) {
        RC_ASSERT(m_harness.count<CancelOnReplica>() == 0U);
        RC_ASSERT(request.attempt == before);
    }
    // A late count of the first tokens may show that a waiting request is bound to a version without replicas.
    if (!wasWaiting || request.refusedFor != RefusalReason::VersionGone)
        RC_ASSERT(request.answered == wasAnswered);
}

auto ShardModel::replacementEvent(const ModelStep& step) -> void
{
    if (m_reservations.empty())
        return;
    const auto reservation = pick(m_reservations, step);
    auto& request = m_requests.at(reservation.request);
    deliver(Tick {});
    const auto isCurrent = request.reserving && request.reserving->number == reservation.number;
    const auto before = summarize(m_harness.shard);
    const auto attempt = request.attempt;
    if (step.third % 3 == 0) {
        if (isCurrent)
            request.reserving.reset();
        deliver(ReplacementRefused { reservation.request, reservation.number, FailureKind::Busy });
        RC_ASSERT(m_harness.count<CancelOnReplica>() == 0U);
    } else {
        m_granted = reservation.number;
        deliver(ReplacementReserved { reservation.request, reservation.number, request.sent });
        m_granted = 0;
        // The slot is taken or released.
        if (isCurrent)
            RC_ASSERT_FALSE(request.reserving);
        if (isCurrent && request.sent > request.sentWhenReserving)
            RC_ASSERT(request.attempt == attempt);
    }
    if (!isCurrent) {
        RC_ASSERT(sameCounts(before, summarize(m_harness.shard)));
        RC_ASSERT(m_harness.count<WakeAt>() == m_harness.actions.size());
    }
}

auto ShardModel::check(const ReserveReplacement& action) -> void
{
    auto& request = m_requests.at(action.request);
    RC_ASSERT(m_reservesSlots);
    RC_ASSERT_FALSE(request.answered);
    RC_ASSERT_FALSE(request.reserving);
    checkLive(action.decode, PoolRole::Decode);
    request.reserving = action;
    request.sentWhenReserving = request.sent;
    m_reservations.push_back(action);
}

auto ShardModel::check(const ReleaseReplacement& action) -> void
{
    auto& request = m_requests.at(action.request);
    RC_ASSERT(request.reserving.has_value());
    RC_ASSERT(request.reserving->number == action.number);
    request.reserving.reset();
}

auto ShardModel::checkSlot(KnownRequest& request, ReplacementNumber number, ReplicaId decode) -> void
{
    if (!m_reservesSlots)
        return;
    if (number) {
        RC_ASSERT(m_granted == number);
        RC_ASSERT(request.reserving.has_value());
        RC_ASSERT(request.reserving->number == number);
        RC_ASSERT(request.reserving->decode == decode);
        request.reserving.reset();
    }
    RC_ASSERT_FALSE(request.reserving.has_value());
}

}
