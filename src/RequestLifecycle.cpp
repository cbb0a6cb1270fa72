#include "RequestLifecycle.h"

#include "CrashAttribution.h"
#include "Deadlines.h"
#include "Estimates.h"
#include "Placement.h"
#include "PrefillChoice.h"
#include "QueuedRequests.h"
#include "ReservationAccounting.h"
#include "RetryDelay.h"
#include "RetryRules.h"
#include "VersionBinding.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

auto enterPhase(DecisionContext& context, ActiveRequest& request, RequestPhase phase) -> void
{
    auto& prefilling = context.state.prefilling;
    prefilling += phase == RequestPhase::Prefilling;
    prefilling -= request.phase == RequestPhase::Prefilling;
    context.state.running += phase != RequestPhase::Queued;
    context.state.running -= request.phase != RequestPhase::Queued;
    request.phase = phase;
    if (phase != RequestPhase::Decoding)
        request.phaseStartedAt = context.now;
    request.lastProgressAt = context.now;
    setTimer(context, request);
}

auto countWastedPrefill(DecisionContext& context, const ActiveRequest& request) -> void
{
    context.state.totals.wastedPrefillTokens += request.arrival.promptTokens;
}

auto mayBeRunning(RequestPhase phase) -> bool
{
    return phase == RequestPhase::Starting || phase == RequestPhase::Decoding || phase == RequestPhase::Stopping;
}

/// Leaves the current phase and releases everything that the request holds.
auto leavePhase(DecisionContext& context, ActiveRequest& request) -> void
{
    auto& state = context.state;
    if (request.phase == RequestPhase::Queued)
        removeFromQueue(state, request);
    if (request.phase == RequestPhase::Prefilled)
        state.prefilled.erase({ request.kvExpiresAt, request.arrival.request });
    const auto hasResult = request.phase == RequestPhase::Prefilling || request.phase == RequestPhase::Prefilled || request.phase == RequestPhase::Starting;
    if (hasResult && request.prefill)
        countWastedPrefill(context, request);
    state.prefillsWithoutSlot.erase({ request.phaseStartedAt, request.arrival.request });
    state.awaitingSlotReply.erase(request.arrival.request);
    dropReplacement(context, request);
    clearExpectedEnd(context, request);
    releasePrefill(context, request);
    releaseDecode(context, request);
}

auto erase(DecisionContext& context, ActiveRequest& request) -> void
{
    const auto id = request.arrival.request;
    context.state.prefilling -= request.phase == RequestPhase::Prefilling;
    context.state.running -= request.phase != RequestPhase::Queued;
    context.state.timers.move(id, request.timerAt, TimePoint::max());
    context.state.answered.insert(id);
    context.state.requests.erase(id);
}

/// Counts the failure of the current attempt for the rules on retries.
auto countFailedAttempt(DecisionContext& context, ActiveRequest& request, FailureKind failure) -> void
{
    const auto notRun = request.phase == RequestPhase::Starting && provablyNotRun(failure);
    const auto ran = mayBeRunning(request.phase) && !notRun;
    request.mayHaveRun = request.mayHaveRun || ran;
    const auto isCounted = isCountedCall(context.state.settings.retry, failure);
    // Engines without room are asked again at intervals, so an interrupted request waits for one of them. Where a
    // rejection takes a retry, the limit keeps one request from taking every retry that the budget earns.
    const auto isFreeRejection = failure == FailureKind::Busy && !isCounted && isInterrupted(request);
    if (!provablyNotRun(failure))
        incrementSaturating(request.failures);
    else if (!isFreeRejection)
        incrementSaturating(request.attemptsNotRun);
    if (ran)
        incrementSaturating(request.failedDecodes);
    // The call of a prefill that has ended is already counted.
    if (request.phase != RequestPhase::Prefilled && isCounted)
        incrementSaturating(request.engineCalls);
    if (request.phase == RequestPhase::Starting && request.prefill && provablyNotRun(failure))
        incrementSaturating(request.kvFetchFailures);
    request.avoidedReplica = mayBeRunning(request.phase) ? request.decode : request.prefill;
}

/// Retries only the decode: it did not run, and the prefill result is still available.
auto retryDecode(DecisionContext& context, ActiveRequest& request) -> void
{
    releaseDecode(context, request);
    request.decode.reset();
    ++request.attempt;
    request.emittedAtStart = request.emitted;
    context.state.prefilled.emplace(request.kvExpiresAt, request.arrival.request);
    enterPhase(context, request, RequestPhase::Prefilled);
    startDecode(context, request);
}

auto isResultAvailable(const DecisionContext& context, const ActiveRequest& request, FailureKind failure) -> bool
{
    return request.phase == RequestPhase::Starting && request.prefill && provablyNotRun(failure)
        && failure != FailureKind::KvExpired && context.now < request.kvExpiresAt;
}

}

auto kindOf(const ShardState& state, const ActiveRequest& request) -> const RequestKind&
{
    static const RequestKind unknownKind;
    const auto index = static_cast<std::size_t>(request.arrival.kind);
    return index < state.settings.kinds.size() ? state.settings.kinds[index] : unknownKind;
}

auto customerWeight(const ShardState& state, const ActiveRequest& request) -> double
{
    const auto& weights = state.settings.customerWeights;
    const auto customer = static_cast<std::size_t>(request.arrival.customer);
    return customer < weights.size() ? weights[customer] : 1.0;
}

auto enqueue(DecisionContext& context, ActiveRequest& request) -> void
{
    request.prefill.reset();
    request.decode.reset();
    // A request that waits for crash reports must not hold up its flow. Dispatch skips it in the Resume
    // sub-queue.
    if (request.emitted || request.boundVersion || awaitsCrashReports(context, request))
        request.subQueue = SubQueue::Resume;
    enterPhase(context, request, RequestPhase::Queued);
    pushToQueue(context.state, request);
}

namespace {

auto numberOf(const Placement& placement) -> ReplacementNumber
{
    return placement.replacement ? placement.replacement->number : 0;
}

/// Gives the request the slot of its placement, which may be reserved already.
auto takeDecode(DecisionContext& context, ActiveRequest& request, const Placement& placement) -> void
{
    request.decode = placement.decode->description.replica;
    request.attemptVersion = placement.decode->description.version;
    if (placement.replacement)
        request.decodeReserved = placement.replacement->reserved;
    else
        reserve(context, request, *placement.decode, decodeReservation(context, request, *placement.decode));
}

/// Starts a decode on a replica that prefills itself.
auto startWithoutPrefill(DecisionContext& context, ActiveRequest& request, const Placement& placement) -> void
{
    auto& decode = *placement.decode;
    request.prefill.reset();
    takeDecode(context, request, placement);
    enterPhase(context, request, RequestPhase::Starting);
    std::optional<SlotMemory> slot;
    if (context.state.settings.reservesSlots && !placement.replacement) {
        context.state.awaitingSlotReply.insert(request.arrival.request);
        slot = slotMemory(context, request, decode);
    }
    context.actions.emplace_back(StartDecode { request.arrival.request, request.attempt, request.prefill, *request.decode, request.emitted, slot, numberOf(placement) });
}

}

auto start(DecisionContext& context, ActiveRequest& request, const Placement& placement) -> void
{
    auto& state = context.state;
    removeFromQueue(state, request);
    state.queue.charge(queueEntry(request), request.arrival.promptTokens + expectedTokens(state, request));
    ++request.attempt;
    request.emittedAtStart = request.emitted;
    if (!placement.prefill) {
        startWithoutPrefill(context, request, placement);
        return;
    }
    auto& prefill = *placement.prefill;
    auto& decode = *placement.decode;
    request.prefill = prefill.description.replica;
    request.decode = decode.description.replica;
    reserve(context, request, prefill, prefillReservation(context, request, prefill));
    if (placement.slotFree)
        takeDecode(context, request, placement);
    else
        state.prefillsWithoutSlot.emplace(context.now, request.arrival.request);
    if (state.settings.reservesSlots && !placement.replacement)
        state.awaitingSlotReply.insert(request.arrival.request);
    request.prefillBacklogTokens = prefill.reserved.prefillTokens;
    request.prefillPeerTokens = prefill.peerPrefillTokens;
    recordPrefillZone(context, prefill);
    state.totals.prefillTokens += request.arrival.promptTokens;
    enterPhase(context, request, RequestPhase::Prefilling);
    context.actions.emplace_back(StartPrefill { request.arrival.request, request.attempt, *request.prefill, *request.decode, slotMemory(context, request, decode), numberOf(placement) });
}

auto completePrefill(DecisionContext& context, ActiveRequest& request, TimePoint expiresAt, std::uint32_t cachedTokens) -> void
{
    updatePrefillRate(context, request, expiresAt, cachedTokens);
    context.state.cache.recordComputed(*request.prefill, request.arrival.prefixBlocks);
    context.state.prefillsWithoutSlot.erase({ request.phaseStartedAt, request.arrival.request });
    releasePrefillSlot(context, request);
    request.kvExpiresAt = expiresAt;
    request.hadPrefillResult = true;
    incrementSaturating(request.engineCalls);
    context.state.prefilled.emplace(expiresAt, request.arrival.request);
    enterPhase(context, request, RequestPhase::Prefilled);
    startDecode(context, request);
}

auto reserveDecode(DecisionContext& context, ActiveRequest& request) -> bool
{
    const auto* prefill = findReplica(context.state, *request.prefill);
    auto* replica = chooseDecode(context, request, prefill ? prefill->description.zone : context.state.settings.localZone);
    if (!replica)
        return false;
    request.decode = replica->description.replica;
    reserve(context, request, *replica, decodeReservation(context, request, *replica));
    context.state.prefillsWithoutSlot.erase({ request.phaseStartedAt, request.arrival.request });
    return true;
}

auto startDecode(DecisionContext& context, ActiveRequest& request) -> bool
{
    if (awaitsCrashReports(context, request) || (request.decodeReserved.empty() && !reserveDecode(context, request)))
        return false;
    context.state.prefilled.erase({ request.kvExpiresAt, request.arrival.request });
    enterPhase(context, request, RequestPhase::Starting);
    context.actions.emplace_back(StartDecode { request.arrival.request, request.attempt, request.prefill, *request.decode, request.emitted });
    return true;
}

auto enterDecoding(DecisionContext& context, ActiveRequest& request) -> void
{
    bindToVersion(context, request, request.attemptVersion);
    request.fallback.reset();
    if (request.prefill)
        updateTransferRate(context, request);
    updateFirstTokenMargin(context, request);
    releasePrefill(context, request);
    releaseDecodeLink(context, request);
    // Prefix blocks take most of the memory of a running request. A retry is placed without them.
    std::vector<std::uint64_t>().swap(request.arrival.prefixBlocks);
    enterPhase(context, request, RequestPhase::Decoding);
    updateExpectedEnd(context, request);
}

namespace {

auto recordLostConnection(DecisionContext& context, ActiveRequest& request) -> void
{
    // A crash of a replica that is gone was already recorded when it went.
    auto* replica = request.avoidedReplica ? findReplica(context.state, *request.avoidedReplica) : nullptr;
    if (replica && replica->description.state != ReplicaState::Gone && request.phase != RequestPhase::Stopping)
        recordCrash(context, request, *replica);
}

/// Makes the fallback the current attempt again.
/// @return false if there is none, or its replica is not known any more.
auto returnToFallback(DecisionContext& context, ActiveRequest& request) -> bool
{
    const auto fallback = std::exchange(request.fallback, OptionalReplica());
    auto* replica = fallback ? findReplica(context.state, *fallback) : nullptr;
    if (!replica || replica->role() != PoolRole::Decode)
        return false;
    leavePhase(context, request);
    request.prefill.reset();
    request.decode = *fallback;
    ++request.attempt;
    request.emittedAtStart = request.emitted;
    // The silence has already counted as a failure of the replica.
    request.silentAttempt = request.attempt;
    // Other requests may have taken the room meanwhile. The reservation then falls short of what the attempt uses.
    const auto amount = decodeReservation(context, request, *replica);
    if (freeSlots(*replica) >= amount.slots && hasFreeMemoryBlocks(*replica, amount.memoryBlocks)) {
        reserve(context, request, *replica, amount);
        // No call is sent.
        if (replica->allowance)
            replica->allowance->putBack(context.now);
    }
    request.phaseStartedAt = context.now;
    enterPhase(context, request, RequestPhase::Decoding);
    updateExpectedEnd(context, request);
    context.actions.emplace_back(ReturnToFallback { request.arrival.request, request.attempt, *fallback });
    return true;
}

auto refuseConfirmed(DecisionContext& context, ActiveRequest& request) -> void
{
    const auto signature = request.arrival.signature;
    // A prefill that crashes its engine also counts as a run.
    request.mayHaveRun = true;
    reportCrashSignature(context, signature);
    refuse(context, request, RefusalReason::CrashSuspect);
    blockSignature(context, signature);
}

}

auto stopDecode(DecisionContext& context, ActiveRequest& request) -> void
{
    request.mayHaveRun = true;
    cancelAttempt(context, request);
    leavePhase(context, request);
    enterPhase(context, request, RequestPhase::Stopping);
}

auto retryOrRefuse(DecisionContext& context, ActiveRequest& request, FailureKind failure) -> void
{
    countFailedAttempt(context, request, failure);
    if (failure == FailureKind::ConnectionLost)
        recordLostConnection(context, request);
    if (request.crashSuspicion == CrashSuspicion::Confirmed) {
        refuseConfirmed(context, request);
        return;
    }
    if (returnToFallback(context, request))
        return;
    const auto retry = mayRetry(context, request, failure);
    if (retry && isResultAvailable(context, request, failure)) {
        retryDecode(context, request);
        return;
    }
    leavePhase(context, request);
    enqueue(context, request);
    if (retry)
        ++context.state.totals.retries;
    else if (!waitsForRetry(context, request, failure))
        refuse(context, request, RefusalReason::RetriesExhausted);
}

auto endForReplacement(DecisionContext& context, ActiveRequest& request) -> void
{
    if (request.phase == RequestPhase::Decoding) {
        request.fallback = request.decode;
        context.actions.emplace_back(CancelOnReplica { request.arrival.request, *request.decode, true });
    } else {
        cancelAttempt(context, request);
    }
    countFailedAttempt(context, request, FailureKind::TimedOut);
    leavePhase(context, request);
    request.leftSilentEngine = true;
    // An interrupted request waits there if the new attempt is refused.
    request.subQueue = SubQueue::Resume;
    enqueue(context, request);
    ++context.state.totals.retries;
}

auto dropReplacement(DecisionContext& context, const ActiveRequest& request) -> void
{
    const auto found = context.state.replacements.find(request.arrival.request);
    if (found == context.state.replacements.end())
        return;
    if (context.state.settings.reservesSlots)
        context.actions.emplace_back(ReleaseReplacement { request.arrival.request, found->second.number });
    releaseReplacement(context, request);
}

auto awaitRetry(DecisionContext& context, ActiveRequest& request) -> void
{
    removeFromQueue(context.state, request);
    request.subQueue = SubQueue::Resume;
    pushToQueue(context.state, request);
    setTimer(context, request);
}

auto requeueAfterSlotRefusal(DecisionContext& context, ActiveRequest& request) -> void
{
    request.avoidedReplica = request.decode;
    if (request.prefill) {
        context.state.totals.wastedPrefillTokens -= request.arrival.promptTokens;
        context.state.totals.prefillTokens -= request.arrival.promptTokens;
    }
    putBackCalls(context, request);
    leavePhase(context, request);
    // A slot refusal for lack of room costs little, so the number of slot refusals is not limited. Only
    // the waiting time is.
    enqueue(context, request);
}

auto finish(DecisionContext& context, ActiveRequest& request) -> void
{
    // A finished answer shows that the prefill was useful even if the start of the decode was not
    // reported.
    if (request.phase == RequestPhase::Starting)
        enterPhase(context, request, RequestPhase::Decoding);
    leavePhase(context, request);
    ++context.state.totals.finished;
    erase(context, request);
}

auto finishAtFallback(DecisionContext& context, ActiveRequest& request) -> void
{
    cancelAttempt(context, request);
    leavePhase(context, request);
    ++context.state.totals.finished;
    erase(context, request);
}

auto refuse(DecisionContext& context, ActiveRequest& request, RefusalReason reason, std::optional<RequestRank> displacedBy) -> void
{
    const auto unknown = request.mayHaveRun || mayBeRunning(request.phase);
    auto inputs = refusalInputs(context, request);
    inputs.displacedBy = displacedBy;
    cancelAttempt(context, request);
    leavePhase(context, request);
    ++context.state.totals.refused;
    context.actions.emplace_back(Refuse {
        request.arrival.request,
        reason,
        unknown ? ExecutionOutcome::Unknown : ExecutionOutcome::NotRun,
        retryDelay(context, request, reason),
        inputs,
    });
    erase(context, request);
}

auto cancel(DecisionContext& context, ActiveRequest& request) -> void
{
    cancelAttempt(context, request);
    leavePhase(context, request);
    erase(context, request);
}

auto cancelAttempt(DecisionContext& context, const ActiveRequest& request) -> void
{
    const auto id = request.arrival.request;
    const auto prefills = request.phase == RequestPhase::Prefilling || request.phase == RequestPhase::Prefilled || request.phase == RequestPhase::Starting;
    if (prefills && request.prefill)
        context.actions.emplace_back(CancelOnReplica { id, *request.prefill });
    if (mayBeRunning(request.phase) && request.decode)
        context.actions.emplace_back(CancelOnReplica { id, *request.decode });
}
}
