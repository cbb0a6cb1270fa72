#include "SilentAttempts.h"

#include "CrashAttribution.h"
#include "Dispatch.h"
#include "Estimates.h"
#include "Placement.h"
#include "PrefillChoice.h"
#include "ReplicaHealth.h"
#include "RequestLifecycle.h"
#include "ReservationAccounting.h"
#include "RetryRules.h"
#include "VersionBinding.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

auto silentReplica(const ActiveRequest& request) -> const OptionalReplica&
{
    return request.phase == RequestPhase::Prefilling ? request.prefill : request.decode;
}

auto isSilentReplica(const ActiveRequest& request, const Replica* replica) -> bool
{
    return replica && silentReplica(request) == replica->description.replica;
}

/// Calls a function that chooses replicas as if the silent attempt had failed.
template <typename Choose>
auto chooseWithoutSilent(ActiveRequest& request, Choose choose)
{
    const auto silent = silentReplica(request);
    const auto avoided = std::exchange(request.avoidedReplica, silent);
    const auto subQueue = std::exchange(request.subQueue, SubQueue::Resume);
    const auto choice = choose();
    request.avoidedReplica = avoided;
    request.subQueue = subQueue;
    return choice;
}

/// @return where another attempt would start now, on engines other than the silent one.
auto otherPlacement(DecisionContext& context, ActiveRequest& request) -> std::optional<Placement>
{
    const auto placement = chooseWithoutSilent(request, [&] { return choosePlacement(context, request, 0); });
    if (!placement || !placement->slotFree || isSilentReplica(request, placement->prefill) || isSilentReplica(request, placement->decode))
        return std::nullopt;
    // Without a retry for the prefill, the decode replica prefills itself, if it may.
    const std::uint32_t retries = placement->prefill && !context.state.settings.decodeMayPrefill ? 2 : 1;
    return context.state.retryBudget.remaining() < retries ? std::nullopt : placement;
}

/// @return whether the rules, apart from the budget, allow another attempt now.
auto allowsReplacement(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return allowsRetryOfRunning(context.state, request, request.phase != RequestPhase::Prefilling) && !awaitsCrashReports(context, request);
}

/// @return where the new attempt starts with its reserved slot; nothing if it may not start there any more.
auto reservedPlacement(DecisionContext& context, ActiveRequest& request, const Replacement& replacement) -> std::optional<Placement>
{
    auto* decode = findReplica(context.state, replacement.decode);
    if (!decode || decode->description.state != ReplicaState::Live || decode->pausedUntil > context.now || !mayDecodeAt(context, request, *decode))
        return std::nullopt;
    Placement placement { nullptr, decode, true, &replacement };
    if (replacement.hasPrefill)
        placement.prefill = chooseWithoutSilent(request, [&] { return choosePrefill(context, request); });
    if (isSilentReplica(request, placement.prefill))
        placement.prefill = nullptr;
    const auto needsPrefill = replacement.hasPrefill && !context.state.settings.decodeMayPrefill;
    return needsPrefill && !placement.prefill ? std::nullopt : std::optional(placement);
}

/// Takes the retries that the new attempt needs, and counts the call of the silent one.
auto consumeReplacementRetries(DecisionContext& context, ActiveRequest& request, Placement& placement) -> bool
{
    const auto calls = request.engineCalls;
    incrementSaturating(request.engineCalls);
    const auto isConsumed = consumeRetriesFor(context, request, placement);
    request.engineCalls = calls;
    return isConsumed;
}

/// Replaces the silent attempt with the reserved slot, or gives the slot up.
auto startReplacement(DecisionContext& context, ActiveRequest& request) -> void
{
    auto& replacements = context.state.replacements;
    const auto& reserved = replacements.at(request.arrival.request);
    const auto isSilent = request.silentAttempt == request.attempt && request.emitted <= reserved.emitted;
    auto placement = isSilent && allowsReplacement(context, request) ? reservedPlacement(context, request, reserved) : std::nullopt;
    if (!placement || !consumeReplacementRetries(context, request, *placement)) {
        dropReplacement(context, request);
        return;
    }
    // The new attempt takes over the reservation, so the end of the silent one must not release it.
    const auto replacement = replacements.extract(request.arrival.request);
    placement->replacement = &replacement.mapped();
    endForReplacement(context, request);
    startPlaced(context, request, *placement);
}

/// @return the request if its reservation with that number is still asked for.
auto findReserving(DecisionContext& context, RequestId id, ReplacementNumber number) -> ActiveRequest*
{
    const auto found = context.state.replacements.find(id);
    return found != context.state.replacements.end() && found->second.number == number ? findRequest(context.state, id) : nullptr;
}

}

auto replaceSilentAttempt(DecisionContext& context, ActiveRequest& request) -> void
{
    auto& state = context.state;
    const auto id = request.arrival.request;
    // An engine that has not answered the reservation of this attempt has not been given the request.
    if (state.replacements.contains(id) || state.awaitingSlotReply.contains(id))
        return;
    // Other interrupted requests that wait for capacity start first.
    if (!allowsReplacement(context, request) || hasWaitingResume(context, request))
        return;
    const auto placement = otherPlacement(context, request);
    if (!placement)
        return;
    auto& replica = *placement->decode;
    auto& replacement = reserveReplacement(context, request, replica, decodeReservation(context, request, replica));
    replacement.hasPrefill = placement->prefill != nullptr;
    if (state.settings.reservesSlots)
        context.actions.emplace_back(ReserveReplacement { id, replacement.number, replacement.decode, slotMemory(context, request, replica) });
    else
        startReplacement(context, request);
}

auto handle(DecisionContext& context, const ReplacementReserved& event) -> void
{
    auto* request = findReserving(context, event.request, event.number);
    if (!request)
        return;
    recordTokens(context, *request, event.emittedTokens);
    startReplacement(context, *request);
}

auto handle(DecisionContext& context, const ReplacementRefused& event) -> void
{
    const auto* request = findReserving(context, event.request, event.number);
    if (!request)
        return;
    const auto decode = context.state.replacements.at(event.request).decode;
    releaseReplacement(context, *request);
    recordFailure(context, decode, event.failure);
}

auto handle(DecisionContext& context, const ReplacementFailed& event) -> void
{
    auto* request = findRequest(context.state, event.request);
    const auto isCurrent = request && request->attempt == event.attempt && request->phase != RequestPhase::Queued && request->phase != RequestPhase::Decoding;
    if (!isCurrent)
        return;
    // The stream is bound to the version of its first token by now, so these tokens say nothing about the failed attempt.
    request->emitted = std::max(request->emitted, event.emittedTokens);
    const auto isPrefill = request->phase == RequestPhase::Prefilling || request->phase == RequestPhase::Prefilled;
    if (request->phase != RequestPhase::Stopping)
        recordFailure(context, isPrefill ? *request->prefill : *request->decode, event.failure);
    retryOrRefuse(context, *request, event.failure);
}

auto handle(DecisionContext& context, const FallbackEnded& event) -> void
{
    if (auto* request = findRequest(context.state, event.request))
        request->fallback.reset();
}

auto handle(DecisionContext& context, const FallbackFinished& event) -> void
{
    auto* request = findRequest(context.state, event.request);
    if (!request)
        return;
    // The shard may have returned to the fallback meanwhile.
    const auto replica = request->fallback ? request->fallback : request->decode;
    if (replica)
        recordSuccess(context, *replica, event.request);
    updateLengthModel(context, *request, event.totalTokens);
    finishAtFallback(context, *request);
}

}
