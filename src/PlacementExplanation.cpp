#include "PlacementExplanation.h"

#include "CrashAttribution.h"
#include "Deadlines.h"
#include "PlacementTrace.h"
#include "PrefillChoice.h"
#include "ReplicaPauses.h"
#include "SlotHeadroom.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace jayhold {

namespace {

/// @return what the queued request waits for.
auto waitCause(DecisionContext& context, const ActiveRequest& request) -> WaitCause
{
    if (awaitsCrashReports(context, request))
        return WaitCause::CrashReports;
    if (pausesEndAt(context.state, context.now) > context.now)
        return WaitCause::Pauses;
    const auto slotHeadroom = requiredSlotHeadroom(context, request);
    if (choosePlacement(context, request, slotHeadroom))
        return WaitCause::EarlierRequests;
    if (context.state.freeDecodeSlots <= slotHeadroom)
        return WaitCause::DecodeSlot;
    return choosePrefill(context, request) || context.state.settings.decodeMayPrefill ? WaitCause::DecodeMemory : WaitCause::Prefill;
}

auto waitOf(DecisionContext& context, const ActiveRequest& request) -> PlacementWait
{
    const auto pausesLeft = std::chrono::duration_cast<Duration>(pausesEndAt(context.state, context.now) - context.now);
    return { waitCause(context, request), std::max(refusalInputs(context, request).wait, pausesLeft), request.subQueue == SubQueue::Overdue };
}

/// @return whether the action decides on the request, with the decision set if it does.
auto readDecision(const DecisionAction& action, RequestId id, PlacementExplanation& explanation) -> bool
{
    return std::visit([&](const auto& decided) {
        using Action = std::decay_t<decltype(decided)>;
        if constexpr (std::is_same_v<Action, StartPrefill> || std::is_same_v<Action, StartDecode> || std::is_same_v<Action, Refuse>) {
            if (decided.request != id)
                return false;
            explanation.decision = decided;
            return true;
        } else {
            return false;
        }
    },
        action);
}

/// @return the replicas that the decision names.
auto chosenReplicas(const PlacementExplanation& explanation) -> std::array<std::optional<ReplicaId>, 2>
{
    if (const auto* prefill = std::get_if<StartPrefill>(&explanation.decision))
        return { prefill->prefill, prefill->decode };
    if (const auto* decode = std::get_if<StartDecode>(&explanation.decision))
        return { std::nullopt, decode->decode };
    return {};
}

auto addCandidates(PlacementExplanation& explanation, std::vector<PlacementCandidate> candidates) -> void
{
    const auto chosen = chosenReplicas(explanation);
    const auto key = [&](const PlacementCandidate& candidate) {
        const auto id = candidate.description.replica;
        const auto isChosen = std::ranges::find(chosen, std::optional(id)) != chosen.end();
        return std::tuple(candidate.description.role, !isChosen, candidate.obstacle == PlacementObstacle::NotLive, candidate.obstacle.has_value(), candidate.prefillCost, candidate.decodeCost, id);
    };
    std::ranges::sort(candidates, {}, key);
    explanation.candidateCount = candidates.size();
    std::size_t listed = 0;
    for (auto candidate = candidates.begin(); candidate != candidates.end(); ++candidate) {
        const auto isFirst = candidate == candidates.begin() || std::prev(candidate)->description.role != candidate->description.role;
        listed = isFirst ? 0 : listed;
        if (++listed <= maxListedCandidates)
            explanation.candidates.push_back(*candidate);
    }
}

}

auto name(WaitCause cause) -> std::string_view
{
    switch (cause) {
    case WaitCause::CrashReports:
        return "crash_reports";
    case WaitCause::Pauses:
        return "pauses";
    case WaitCause::EarlierRequests:
        return "earlier_requests";
    case WaitCause::DecodeSlot:
        return "decode_slot";
    case WaitCause::Prefill:
        return "prefill";
    case WaitCause::DecodeMemory:
        return "decode_memory";
    }
    return "";
}

auto explainArrival(Shard copy, TimePoint now, const RequestArrived& arrival) -> PlacementExplanation
{
    std::vector<DecisionAction> actions;
    PlacementTrace trace { .request = arrival.request };
    DecisionContext context { *copy.state, now, actions, &trace };
    handleEvent(context, arrival);
    PlacementExplanation explanation;
    auto isDecided = false;
    for (const auto& action : actions) {
        isDecided = readDecision(action, arrival.request, explanation) || isDecided;
        const auto* refusal = std::get_if<Refuse>(&action);
        explanation.displacedRequests += refusal && refusal->request != arrival.request;
    }
    const auto* waiting = findRequest(*copy.state, arrival.request);
    if (!isDecided && waiting)
        explanation.decision = waitOf(context, *waiting);
    explanation.isDecodeSlotFree = trace.isSlotFree;
    explanation.queuedBefore = trace.queuedBefore;
    explanation.freeDecodeSlots = trace.freeDecodeSlots;
    explanation.slotHeadroom = trace.slotHeadroom;
    explanation.otherZonePenalty = static_cast<double>(otherZoneLoadPenalty) / static_cast<double>(loadScale);
    addCandidates(explanation, std::move(trace.candidates));
    return explanation;
}

}
