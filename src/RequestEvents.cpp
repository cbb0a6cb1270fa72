#include "RequestEvents.h"

#include "Admission.h"
#include "CrashAttribution.h"
#include "Deadlines.h"
#include "Displacement.h"
#include "Estimates.h"
#include "PlacementTrace.h"
#include "PromptPartBlocking.h"
#include "ReplicaHealth.h"
#include "RequestLifecycle.h"
#include "RequestRanks.h"
#include "ReservationAccounting.h"
#include "RetryRules.h"
#include "SilentAttempts.h"
#include "SlotHeadroom.h"
#include "VersionBinding.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

/// @return the request if the event belongs to its current attempt and to one of the phases.
auto findCurrent(ShardState& state, RequestId id, Attempt attempt, std::initializer_list<RequestPhase> phases) -> ActiveRequest*
{
    auto* request = findRequest(state, id);
    if (!request || request->attempt != attempt)
        return nullptr;
    return std::find(phases.begin(), phases.end(), request->phase) != phases.end() ? request : nullptr;
}

/// Handles a token count of an attempt that the shard ended before the driver reported its end. The
/// next attempt still needs the number of tokens that the caller has.
auto recordLateTokenCount(DecisionContext& context, RequestId id, Attempt attempt, std::uint32_t total) -> void
{
    if (auto* request = findCurrent(context.state, id, attempt, { RequestPhase::Queued, RequestPhase::Stopping }))
        recordTokens(context, *request, total);
}

auto raiseEmitted(DecisionContext& context, ActiveRequest& request, std::uint32_t total) -> void
{
    updateTokenRate(context, request, total);
    recordTokens(context, request, total);
    request.lastProgressAt = context.now;
}

}

auto handle(DecisionContext& context, const RequestArrived& event) -> void
{
    auto& state = context.state;
    if (state.requests.contains(event.request) || state.answered.contains(event.request))
        return;
    state.retryBudget.recordRequest();
    auto& request = state.requests[event.request];
    request.arrival = event;
    request.arrivedAt = context.now;
    request.latencyClass = kindOf(state, request).latencyClass;
    request.rank = rankOf(state.settings, event.kind, event.customer);
    state.returnPromises.arrived(event.signature);
    request.boundVersion = event.boundVersion;
    // A stream that is taken up was interrupted. In the queue of its flow it would hold up requests of other versions.
    if (request.boundVersion)
        request.subQueue = SubQueue::Resume;
    recordOfferedLoad(context, request);
    if (context.trace)
        recordCandidates(context, request);
    const auto refusal = admissionRefusal(context, request);
    enqueue(context, request);
    if (refusal)
        refuse(context, request, *refusal);
    else if (hasSeveralRanks(state))
        displaceWaiting(context, request);
}

auto handle(DecisionContext& context, const PrefillDone& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Prefilling });
    if (!request)
        return;
    request->silentAttempt = 0;
    recordSuccess(context, *request->prefill, event.request);
    clearSuspectsIfAlive(context, *request, *request->prefill);
    completePrefill(context, *request, event.expiresAt, event.cachedTokens);
}

auto handle(DecisionContext& context, const PrefillFailed& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Prefilling, RequestPhase::Prefilled });
    if (!request)
        return;
    request->fallback.reset();
    recordFailure(context, *request->prefill, event.failure);
    retryOrRefuse(context, *request, event.failure);
}

auto handle(DecisionContext& context, const SlotReserved& event) -> void
{
    const auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Prefilling, RequestPhase::Starting });
    if (!request)
        return;
    context.state.awaitingSlotReply.erase(event.request);
    if (request->decode && context.state.settings.reservesSlots)
        recordReached(context, *request->decode);
}

auto handle(DecisionContext& context, const SlotRefused& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Prefilling, RequestPhase::Starting });
    if (!request || !request->decode)
        return;
    request->fallback.reset();
    recordFailure(context, *request->decode, event.failure);
    requeueAfterSlotRefusal(context, *request);
}

auto handle(DecisionContext& context, const DecodeStarted& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Starting });
    if (!request)
        return;
    request->silentAttempt = 0;
    recordSuccess(context, *request->decode, event.request);
    enterDecoding(context, *request);
}

auto handle(DecisionContext& context, const TokensEmitted& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Starting, RequestPhase::Decoding, RequestPhase::Stopping });
    if (!request) {
        recordLateTokenCount(context, event.request, event.attempt, event.total);
        return;
    }
    // Tokens show that the decode runs even if its start was not reported.
    if (request->phase == RequestPhase::Starting)
        enterDecoding(context, *request);
    raiseEmitted(context, *request, event.total);
    if (request->phase != RequestPhase::Decoding)
        return;
    // An engine that goes on after a pause must not stay ejected.
    if (std::exchange(request->silentAttempt, Attempt {}) == event.attempt)
        recordSuccess(context, *request->decode, event.request);
    recordSameProcess(context, *request->decode, request->phaseStartedAt);
    clearSuspectsIfAlive(context, *request, *request->decode);
    clearSuspectAfterProgress(context, *request, false);
    recordPromptProgress(context, *request, false);
    updateExpectedEnd(context, *request);
    growDecode(context, *request);
}

auto handle(DecisionContext& context, const DecodeFinished& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Starting, RequestPhase::Decoding, RequestPhase::Stopping });
    if (!request)
        return;
    recordSuccess(context, *request->decode, event.request);
    clearSuspectsIfAlive(context, *request, *request->decode);
    clearSuspectAfterProgress(context, *request, true);
    recordPromptProgress(context, *request, true);
    updateLengthModel(context, *request, event.totalTokens);
    finish(context, *request);
}

auto handle(DecisionContext& context, const DecodeFailed& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Starting, RequestPhase::Decoding, RequestPhase::Stopping });
    if (!request) {
        recordLateTokenCount(context, event.request, event.attempt, event.emittedTokens);
        return;
    }
    // An attempt that was not sent reports the tokens of an earlier one.
    if (request->phase == RequestPhase::Starting && event.failure != FailureKind::OtherVersion && hasNewTokens(*request, event.emittedTokens))
        enterDecoding(context, *request);
    // The time until the failure was detected says nothing about the speed of engines, so the token
    // rate is not updated.
    if (event.failure == FailureKind::OtherVersion)
        request->emitted = std::max(request->emitted, event.emittedTokens);
    else
        recordTokens(context, *request, event.emittedTokens);
    if (request->phase != RequestPhase::Stopping)
        recordFailure(context, *request->decode, event.failure);
    request->fallback.reset();
    retryOrRefuse(context, *request, event.failure);
}

auto handle(DecisionContext& context, const AttemptSilent& event) -> void
{
    auto* request = findCurrent(context.state, event.request, event.attempt, { RequestPhase::Prefilling, RequestPhase::Starting, RequestPhase::Decoding });
    if (!request) {
        recordLateTokenCount(context, event.request, event.attempt, event.emittedTokens);
        return;
    }
    // A long silence counts as one failure of the replica.
    if (request->silentAttempt != event.attempt) {
        request->silentAttempt = event.attempt;
        recordFailure(context, request->phase == RequestPhase::Prefilling ? *request->prefill : *request->decode, FailureKind::TimedOut);
    }
    if (request->phase == RequestPhase::Starting && hasNewTokens(*request, event.emittedTokens))
        enterDecoding(context, *request);
    recordTokens(context, *request, event.emittedTokens);
    replaceSilentAttempt(context, *request);
}

auto handle(DecisionContext& context, const StreamBound& event) -> void
{
    auto* request = findRequest(context.state, event.request);
    if (!request)
        return;
    bindToVersion(context, *request, event.version);
    request->emitted = std::max(request->emitted, event.emittedTokens);
}

auto handle(DecisionContext& context, const RequestCancelled& event) -> void
{
    if (auto* request = findRequest(context.state, event.request))
        cancel(context, *request);
    else
        // The arrival may be reported after the cancellation.
        context.state.answered.insert(event.request);
}

auto handleRequestTimer(DecisionContext& context, RequestId id) -> void
{
    auto* request = findRequest(context.state, id);
    if (!request)
        return;
    request->timerAt = TimePoint::max();
    if (latestRefusal(context.state, *request) <= context.now) {
        const auto isDraining = endsBeforeDeadline(context.state, *request) && endOfTime(context.state, *request) <= context.now;
        const auto lacksRetryNow = request->phase == RequestPhase::Queued && lacksRetry(context, *request);
        const auto reason = lacksRetryNow ? RefusalReason::RetriesExhausted : RefusalReason::DeadlineExceeded;
        refuse(context, *request, isDraining ? RefusalReason::Draining : reason);
        return;
    }
    if (request->phase == RequestPhase::Queued) {
        checkWaiting(context, *request);
        return;
    }
    if (request->phase == RequestPhase::Prefilled && pausesEndAfterLatestStart(context, *request)) {
        refuse(context, *request, RefusalReason::Overloaded);
        return;
    }
    setTimer(context, *request);
    if (request->timerAt > context.now)
        return;
    if (request->phase == RequestPhase::Prefilling || request->phase == RequestPhase::Starting || request->phase == RequestPhase::Decoding) {
        handle(context, AttemptSilent { id, request->attempt, request->emitted });
        // The next check comes after another period without progress.
        if (auto* waiting = findRequest(context.state, id); waiting && waiting->phase != RequestPhase::Queued) {
            waiting->lastProgressAt = context.now;
            setTimer(context, *waiting);
        }
        return;
    }
    cancelAttempt(context, *request);
    const auto expired = request->phase == RequestPhase::Prefilled;
    retryOrRefuse(context, *request, expired ? FailureKind::KvExpired : FailureKind::TimedOut);
}

}
