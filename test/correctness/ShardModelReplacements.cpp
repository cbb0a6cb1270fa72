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

auto ShardModel::dropFallback(const StartDecode& start) -> void
{
    auto& request = m_requests.at(start.request);
    if (request.answered || request.attempt != start.attempt || !std::exchange(request.fallback, std::nullopt))
        return;
    deliver(FallbackEnded { start.request, start.attempt });
}

auto ShardModel::fallbackEvent(const ModelStep& step) -> void
{
    const auto found = std::ranges::find_if(m_requests, [](const auto& entry) { return entry.second.fallback && !entry.second.answered; });
    if (found == m_requests.end())
        return;
    auto& [id, request] = *found;
    deliver(Tick {});
    if (!request.fallback || request.answered)
        return;
    if (step.third % 4 == 0) {
        request.fallback.reset();
        deliver(FallbackEnded { id, request.attempt });
        return;
    }
    if (step.third % 4 == 1) {
        finishFallback(id);
        return;
    }
    const auto* active = findRequest(*m_harness.shard.state, id);
    const auto isRunning = active->phase != RequestPhase::Queued && active->phase != RequestPhase::Decoding;
    const auto* replica = findReplica(*m_harness.shard.state, *request.fallback);
    const auto attempt = request.attempt;
    request.streaming = 0;
    request.sentReported = true;
    const auto canReturn = isRunning && replica && replica->role() == PoolRole::Decode;
    deliver(ReplacementFailed { id, attempt, FailureKind::ServerError, request.sent });
    if (canReturn)
        RC_ASSERT(request.attempt == attempt + 1);
}

auto ShardModel::finishFallback(RequestId id) -> void
{
    auto& request = m_requests.at(id);
    const auto before = summarize(m_harness.shard).finished;
    m_harness.send(FallbackFinished { id, request.sent });
    RC_ASSERT(summarize(m_harness.shard).finished == before + 1);
    request.answered = true;
    request.fallback.reset();
    checkActions();
    checkReservations();
}

auto ShardModel::check(const CancelOnReplica& action) -> void
{
    // Orphans of unknown requests are cancelled, too.
    if (!action.becomesFallback)
        return;
    auto& request = m_requests.at(action.request);
    RC_ASSERT_FALSE(request.answered);
    request.fallback = action.replica;
}

auto ShardModel::check(const ReturnToFallback& action) -> void
{
    auto& request = m_requests.at(action.request);
    RC_ASSERT_FALSE(request.answered);
    RC_ASSERT(action.attempt == request.attempt + 1);
    RC_ASSERT(request.fallback == action.replica);
    request.fallback.reset();
    request.attempt = action.attempt;
    request.streaming = action.attempt;
    request.sentReported = true;
    request.mayHaveRun.insert(action.attempt);
    request.running.insert(action.attempt);
    m_decodes.push_back(StartDecode { action.request, action.attempt, {}, action.replica, request.sent, {}, 0 });
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
