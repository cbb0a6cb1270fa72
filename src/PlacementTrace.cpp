#include "PlacementTrace.h"

#include "PrefillChoice.h"
#include "ReplicaIndex.h"
#include "ReservationAccounting.h"

#include <algorithm>

namespace jayhold {

namespace {

auto ageOf(TimePoint time, TimePoint now) -> std::optional<Duration>
{
    return time == TimePoint::min() ? std::nullopt : std::optional(std::chrono::duration_cast<Duration>(now - time));
}

auto freeMemoryBlocks(const Replica& replica) -> std::uint32_t
{
    const auto used = std::uint64_t { replica.reserved.memoryBlocks } + replica.peerMemoryBlocks;
    return replica.description.memoryBlocks - static_cast<std::uint32_t>(std::min<std::uint64_t>(used, replica.description.memoryBlocks));
}

auto isSuspected(const Replica& replica, TimePoint now) -> bool
{
    return replica.consecutiveFailures >= failuresBeforeEjection || replica.crashReportWaitUntil > now || replica.isolatedSuspect;
}

auto nextCallIn(const Replica& replica, TimePoint now) -> std::optional<Duration>
{
    if (!replica.allowance)
        return std::nullopt;
    const auto next = replica.allowance->nextCallAt(now);
    return next == TimePoint::max() ? Duration::max() : std::chrono::duration_cast<Duration>(next - now);
}

auto addCost(const DecisionContext& context, const ActiveRequest& request, const Replica& replica, PlacementCandidate& candidate) -> void
{
    if (!candidate.obstacle)
        candidate.obstacle = replica.role() == PoolRole::Prefill ? prefillObstacle(context, request, replica) : decodeObstacle(context, request, replica);
    if (replica.role() == PoolRole::Prefill) {
        candidate.neededMemoryBlocks = memoryBlocksFor(replica, request.arrival.promptTokens);
        candidate.cachedTokens = expectedCachedTokens(context.state, request, replica.description.replica);
        candidate.prefillCost = prefillCost(context.state, request, replica);
    } else {
        candidate.neededMemoryBlocks = decodeMemoryNeed(context, request, replica);
        candidate.decodeCost = static_cast<double>(decodeCost(replica)) / static_cast<double>(loadScale);
    }
}

auto candidateOf(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> PlacementCandidate
{
    PlacementCandidate candidate {
        .description = replica.description,
        .reserved = replica.reserved,
        .ownRequests = static_cast<std::uint32_t>(replica.requests.size()),
        .peerSlots = replica.peerSlots,
        .peerMemoryBlocks = replica.peerMemoryBlocks,
        .peerPrefillTokens = replica.peerPrefillTokens,
        .freeSlots = freeSlots(replica),
        .freeMemoryBlocks = freeMemoryBlocks(replica),
        .expectedSpeed = replica.expectedSpeed,
        .loadAge = ageOf(replica.reportAsOf, context.now),
        .speedAge = ageOf(replica.speed.updatedAt, context.now),
        .pauseLeft = replica.pausedUntil > context.now ? std::chrono::duration_cast<Duration>(replica.pausedUntil - context.now) : Duration::zero(),
        .nextCallIn = nextCallIn(replica, context.now),
        .consecutiveFailures = replica.consecutiveFailures,
        .isSuspected = isSuspected(replica, context.now),
        .obstacle = workObstacle(replica, context.now),
        .prefillCost = std::nullopt,
        .decodeCost = std::nullopt,
    };
    addCost(context, request, replica, candidate);
    return candidate;
}

}

auto recordCandidates(DecisionContext& context, const ActiveRequest& request) -> void
{
    auto& trace = *context.trace;
    if (trace.request != request.arrival.request)
        return;
    trace.candidates.clear();
    for (const auto& [id, replica] : context.state.replicas) {
        if (replica.description.state != ReplicaState::Gone)
            trace.candidates.push_back(candidateOf(context, request, replica));
    }
    trace.freeDecodeSlots = context.state.freeDecodeSlots;
    trace.queuedBefore = context.state.queue.size() - (trace.slotHeadroom ? 1 : 0);
}

auto recordAttempt(DecisionContext& context, const ActiveRequest& request, std::int64_t slotHeadroom, const std::optional<Placement>& placement) -> void
{
    auto& trace = *context.trace;
    if (trace.request != request.arrival.request)
        return;
    trace.slotHeadroom = slotHeadroom;
    trace.isSlotFree = placement && placement->slotFree;
    recordCandidates(context, request);
}

}
