#include "RequestEvents.h"

#include "Admission.h"
#include "CrashWatch.h"
#include "Forecast.h"
#include "Ledger.h"
#include "ReplicaHealth.h"
#include "RequestLife.h"
#include "SeatReserve.h"

#include <algorithm>

namespace jayhold {

namespace {

/// @return the request if the event belongs to its present attempt and phase.
auto present(ShardState& state, RequestId id, Attempt attempt, std::initializer_list<RequestPhase> phases) -> ActiveRequest*
{
    auto* request = findRequest(state, id);
    if (!request || request->attempt != attempt)
        return nullptr;
    return std::find(phases.begin(), phases.end(), request->phase) != phases.end() ? request : nullptr;
}

/// The shard gave up the attempt before the driver reported its end; the number of tokens that the
/// caller has still matters for the next attempt.
auto learnEmittedLate(DecisionContext& context, RequestId id, Attempt attempt, std::uint32_t total) -> void
{
    if (auto* request = present(context.state, id, attempt, { RequestPhase::Queued }))
        request->emitted = std::max(request->emitted, total);
}

auto raiseEmitted(DecisionContext& context, ActiveRequest& request, std::uint32_t total) -> void
{
    learnTokens(context, request, total);
    request.emitted = std::max(request.emitted, total);
    request.progressAt = context.now;
}

}

auto handle(DecisionContext& context, const RequestArrived& event) -> void
{
    auto& state = context.state;
    if (state.requests.contains(event.request) || state.answered.contains(event.request))
        return;
    state.retryBudget.requestArrived();
    auto& request = state.requests[event.request];
    request.arrival = event;
    request.arrivedAt = context.now;
    request.latencyClass = kindOf(state, request).latencyClass;
    noteOffered(context, request);
    const auto refusal = admissionRefusal(context, request);
    enqueue(context, request);
    if (refusal)
        refuse(context, request, *refusal);
}

auto handle(DecisionContext& context, const PrefillDone& event) -> void
{
    auto* request = present(context.state, event.request, event.attempt, { RequestPhase::Prefilling });
    if (!request)
        return;
    attemptSucceeded(context, *request->prefill);
    noteAlive(context, *request, *request->prefill);
    prefillDone(context, *request, event.expiresAt, event.cachedTokens);
}

auto handle(DecisionContext& context, const PrefillFailed& event) -> void
{
    auto* request = present(context.state, event.request, event.attempt, { RequestPhase::Prefilling, RequestPhase::Ready });
    if (!request)
        return;
    replicaFailed(context, *request->prefill, event.failure);
    attemptFailed(context, *request, event.failure);
}

auto handle(DecisionContext& context, const SeatHeld& event) -> void
{
    if (present(context.state, event.request, event.attempt, { RequestPhase::Prefilling, RequestPhase::Starting }))
        context.state.awaitingSeat.erase(event.request);
}

auto handle(DecisionContext& context, const SeatRefused& event) -> void
{
    auto* request = present(context.state, event.request, event.attempt, { RequestPhase::Prefilling, RequestPhase::Starting });
    if (!request || !request->decode)
        return;
    replicaFailed(context, *request->decode, event.failure);
    seatRefused(context, *request);
}

auto handle(DecisionContext& context, const DecodeStarted& event) -> void
{
    auto* request = present(context.state, event.request, event.attempt, { RequestPhase::Starting });
    if (!request)
        return;
    attemptSucceeded(context, *request->decode);
    decodeStarted(context, *request);
}

auto handle(DecisionContext& context, const TokensEmitted& event) -> void
{
    auto* request = present(context.state, event.request, event.attempt, { RequestPhase::Starting, RequestPhase::Decoding, RequestPhase::Stopping });
    if (!request) {
        learnEmittedLate(context, event.request, event.attempt, event.total);
        return;
    }
    // Tokens show that the decode runs even if its start was not reported.
    if (request->phase == RequestPhase::Starting)
        decodeStarted(context, *request);
    raiseEmitted(context, *request, event.total);
    if (request->phase != RequestPhase::Decoding)
        return;
    noteAlive(context, *request, *request->decode);
    noteProgress(context, *request);
    updateExpectedEnd(context, *request);
    growDecode(context, *request);
}

auto handle(DecisionContext& context, const DecodeFinished& event) -> void
{
    auto* request = present(context.state, event.request, event.attempt, { RequestPhase::Starting, RequestPhase::Decoding, RequestPhase::Stopping });
    if (!request)
        return;
    attemptSucceeded(context, *request->decode);
    noteAlive(context, *request, *request->decode);
    learnLength(context, *request, event.totalTokens);
    finish(context, *request);
}

auto handle(DecisionContext& context, const DecodeFailed& event) -> void
{
    auto* request = present(context.state, event.request, event.attempt, { RequestPhase::Starting, RequestPhase::Decoding, RequestPhase::Stopping });
    if (!request) {
        learnEmittedLate(context, event.request, event.attempt, event.emittedTokens);
        return;
    }
    if (request->phase == RequestPhase::Starting && event.emittedTokens > request->emitted)
        decodeStarted(context, *request);
    // The time until a failure was found says nothing about the speed of engines.
    request->emitted = std::max(request->emitted, event.emittedTokens);
    if (request->phase != RequestPhase::Stopping)
        replicaFailed(context, *request->decode, event.failure);
    attemptFailed(context, *request, event.failure);
}

auto handle(DecisionContext& context, const RequestCancelled& event) -> void
{
    if (auto* request = findRequest(context.state, event.request))
        cancel(context, *request);
    else
        // The arrival may be reported later than the cancel.
        context.state.answered.insert(event.request);
}

auto requestTimerDue(DecisionContext& context, RequestId id) -> void
{
    auto* request = findRequest(context.state, id);
    if (!request)
        return;
    request->timerAt = TimePoint::max();
    if (request->arrival.deadline <= context.now) {
        refuse(context, *request, RefusalReason::DeadlineExceeded);
        return;
    }
    if (request->phase == RequestPhase::Queued) {
        checkWaiting(context, *request);
        return;
    }
    setTimer(context, *request);
    if (request->timerAt > context.now)
        return;
    if (request->phase == RequestPhase::Prefilling)
        replicaFailed(context, *request->prefill, FailureKind::TimedOut);
    if (request->phase == RequestPhase::Starting || request->phase == RequestPhase::Decoding)
        replicaFailed(context, *request->decode, FailureKind::TimedOut);
    cancelAttempt(context, *request);
    const auto expired = request->phase == RequestPhase::Ready;
    attemptFailed(context, *request, expired ? FailureKind::KvExpired : FailureKind::TimedOut);
}

}
