#include "Dispatch.h"

#include "CrashAttribution.h"
#include "CrashCopies.h"
#include "Estimates.h"
#include "Placement.h"
#include "PlacementTrace.h"
#include "QueuedRequests.h"
#include "ReplicaPauses.h"
#include "RequestLifecycle.h"
#include "RequestRanks.h"
#include "RetryRules.h"
#include "SlotHeadroom.h"
#include "VersionBinding.h"

#include <algorithm>
#include <vector>

namespace jayhold {

namespace {

/// Number of flows of a class that dispatch tries, since the request of the first may not fit.
constexpr std::size_t maxTriedFlows = 2;
/// Number of interrupted streams that dispatch searches for one that does not wait for crash reports. A
/// caller may repeat a request that crashes engines many times.
constexpr std::size_t maxTriedResumes = 64;
/// Aged requests get one output token for this many tokens of other requests, which bounds their wait
/// and leaves nearly all capacity to urgent work. The unit is tokens because batch responses are long.
constexpr std::uint64_t tokensPerAgedToken = 7;
/// A request is aged after this fraction of its deadline, which leaves most of the deadline for its
/// execution.
constexpr int agedDeadlineDivisor = 8;

enum class StartResult {
    /// The request has left its sub-queue: it has started, was refused, or waits for a retry in another one.
    Left,
    NoRoom,
    /// The request waits in the Resume sub-queue until the budget allows a retry.
    NoRetry,
};

auto tryStartOne(DecisionContext& context, RequestId id, bool aged) -> StartResult
{
    auto& request = *findRequest(context.state, id);
    request.isDue = aged;
    const auto slotHeadroom = aged ? 0 : requiredSlotHeadroom(context, request);
    auto placement = choosePlacement(context, request, slotHeadroom);
    if (context.trace)
        recordAttempt(context, request, slotHeadroom, placement);
    if (!placement)
        return StartResult::NoRoom;
    if (consumeRetriesFor(context, request, *placement)) {
        startPlaced(context, request, *placement);
        return StartResult::Left;
    }
    if (request.subQueue == SubQueue::Resume)
        return StartResult::NoRetry;
    if (isInterrupted(request) && !neverGetsRetry(context, request))
        awaitRetry(context, request);
    else
        refuse(context, request, RefusalReason::RetriesExhausted);
    return StartResult::Left;
}

/// @return whether the request has left its sub-queue.
auto tryStart(DecisionContext& context, RequestId id, bool aged = false) -> bool
{
    return tryStartOne(context, id, aged) == StartResult::Left;
}

auto tryStart(DecisionContext& context, const std::optional<RequestId>& id) -> bool
{
    return id && tryStart(context, *id);
}

auto isAged(const DecisionContext& context, const std::optional<RequestId>& id) -> bool
{
    if (!id)
        return false;
    const auto& request = *findRequest(context.state, *id);
    return context.now - request.arrivedAt >= (request.arrival.deadline - request.arrivedAt) / agedDeadlineDivisor;
}

/// @return the oldest requests that ageing protects, the least urgent first.
auto ageingRequests(const ShardState& state) -> std::vector<std::optional<RequestId>>
{
    const auto& queue = state.queue;
    const auto ranks = queue.ranks();
    std::vector<std::optional<RequestId>> oldest;
    for (auto rank = ranks.rbegin(); rank != ranks.rend(); ++rank) {
        // Requests of a less urgent rank can also wait for those of more urgent ones.
        if (hasSeveralRanks(state) && state.ranks.front() < *rank)
            oldest.push_back(queue.oldestOverdue(*rank));
        oldest.push_back(queue.oldestOverdueBatch(*rank));
        oldest.push_back(queue.oldest(*rank, LatencyClass::Batch));
        oldest.push_back(queue.oldest(*rank, LatencyClass::Standard));
        if (hasSeveralRanks(state) && state.ranks.front() < *rank)
            oldest.push_back(queue.oldest(*rank, LatencyClass::Interactive));
    }
    return oldest;
}

/// @return the oldest request of the least urgent rank whose requests start too rarely compared with all.
auto requestOfNeglectedRank(const DecisionContext& context) -> std::optional<RequestId>
{
    const auto& state = context.state;
    if (!hasSeveralRanks(state))
        return std::nullopt;
    const auto ranks = state.queue.ranks();
    for (auto rank = ranks.rbegin(); rank != ranks.rend(); ++rank) {
        if (!state.queue.rankSize(*rank) || !state.offeredLoad.startsTooRarely(*rank, context.now))
            continue;
        for (const auto latencyClass : { LatencyClass::Interactive, LatencyClass::Standard, LatencyClass::Batch }) {
            std::array<RequestId, 1> head {};
            if (state.queue.heads(*rank, latencyClass, head))
                return head.front();
        }
        return state.queue.oldestOverdue(*rank);
    }
    return std::nullopt;
}

/// @return the aged request that may start next, if enough tokens of other requests have started since the
/// last one.
auto agedRequest(const DecisionContext& context) -> std::optional<RequestId>
{
    if (const auto due = requestOfNeglectedRank(context))
        return due;
    for (const auto& id : ageingRequests(context.state)) {
        if (!isAged(context, id))
            continue;
        const auto tokens = expectedTokens(context.state, *findRequest(context.state, *id));
        return context.state.tokensSinceAgedStart >= tokensPerAgedToken * tokens ? id : std::nullopt;
    }
    return std::nullopt;
}

auto startFromClass(DecisionContext& context, RequestRank rank, LatencyClass latencyClass) -> bool
{
    std::array<RequestId, maxTriedFlows> heads {};
    const auto count = context.state.queue.heads(rank, latencyClass, heads);
    return std::any_of(heads.begin(), heads.begin() + count, [&](RequestId id) { return tryStart(context, id); });
}

/// Software versions whose replicas have no room for the next request. It holds up only requests of its version.
class FullVersions {
public:
    auto contains(const ActiveRequest& request) const -> bool { return request.boundVersion && std::ranges::find(m_versions, *request.boundVersion) != m_versions.end(); }
    /// @param request a request that finds no room.
    /// @return whether requests of other versions may find room.
    auto add(const ShardState& state, const ActiveRequest& request) -> bool
    {
        if (!request.boundVersion || !hasSeveralVersions(state))
            return false;
        m_versions.push_back(*request.boundVersion);
        return true;
    }

private:
    std::vector<SoftwareVersionId> m_versions;
};

/// @return the oldest requests of the Resume sub-queue, as many of each software version as dispatch tries.
auto oldestResumes(const ShardState& state) -> std::vector<RequestId>
{
    RequestQueue::Waiting oldest;
    for (const auto& [version, waiting] : state.queue.resumes()) {
        std::size_t tried = 0;
        for (auto entry = waiting.begin(); entry != waiting.end() && tried < maxTriedResumes; ++entry, ++tried)
            oldest.insert(*entry);
    }
    std::vector<RequestId> ids;
    ids.reserve(oldest.size());
    for (const auto& [order, id] : oldest)
        ids.push_back(id);
    return ids;
}

/// Starts the oldest interrupted request that waits for nothing but capacity. The retries that the budget has go to the
/// oldest request that needs some, and hold up none that needs no more.
auto startResume(DecisionContext& context) -> bool
{
    auto isBudgetUsed = false;
    FullVersions full;
    for (const auto id : oldestResumes(context.state)) {
        auto& request = *findRequest(context.state, id);
        if (full.contains(request) || awaitsCrashReports(context, request))
            continue;
        if (lacksRetry(context, request) && neverGetsRetry(context, request)) {
            refuse(context, request, RefusalReason::RetriesExhausted);
            return true;
        }
        if (!isBudgetUsed)
            collectRetries(context, request);
        if (lacksRetry(context, request)) {
            isBudgetUsed = true;
            continue;
        }
        if (isBudgetUsed && needsRetry(context, request))
            continue;
        switch (tryStartOne(context, id, false)) {
        case StartResult::Left:
            return true;
        case StartResult::NoRetry:
            isBudgetUsed = true;
            break;
        case StartResult::NoRoom:
            if (!full.add(context.state, request))
                return false;
            break;
        }
    }
    return false;
}

/// @return whether requests wait for capacity. A wait for the retry budget says nothing about the speed at which
/// waiting work starts.
auto hasBacklog(const DecisionContext& context) -> bool
{
    return waitingForCapacity(context.state) > 0;
}

/// @return whether requests of the rank wait for room that less urgent ones would take. One that waits for a replica without
/// another suspect does not, nor does batch work, which waits for room for two.
auto holdsBackLessUrgent(const ShardState& state, RequestRank rank) -> bool
{
    const auto holdsBack = [&](RequestId id) { return state.requests.at(id).crashSuspicion != CrashSuspicion::Suspect; };
    for (const auto latencyClass : { LatencyClass::Interactive, LatencyClass::Standard }) {
        std::array<RequestId, maxTriedFlows> heads {};
        const auto count = state.queue.heads(rank, latencyClass, heads);
        if (std::any_of(heads.begin(), heads.begin() + count, holdsBack))
            return true;
    }
    const auto overdue = state.queue.oldestOverdue(rank);
    return overdue && holdsBack(*overdue);
}

auto startOne(DecisionContext& context) -> bool
{
    auto& state = context.state;
    if (startResume(context))
        return true;
    const auto dueAged = agedRequest(context);
    if (dueAged && tryStart(context, *dueAged, true)) {
        state.tokensSinceAgedStart = 0;
        return true;
    }
    // Capacity that becomes free is kept for the aged request that does not fit yet. Only interactive
    // requests and those of more urgent ranks may start before it.
    const auto agedRank = dueAged ? std::optional(findRequest(state, *dueAged)->rank) : std::nullopt;
    for (const auto rank : state.queue.ranks()) {
        const auto isBeforeAged = !agedRank || rank < *agedRank;
        if (startFromClass(context, rank, LatencyClass::Interactive))
            return true;
        if (!isBeforeAged)
            return false;
        // An overdue request goes before new ones of less urgent ranks.
        if (startFromClass(context, rank, LatencyClass::Standard)
            || startFromClass(context, rank, LatencyClass::Batch)
            || tryStart(context, state.queue.oldestOverdue(rank))
            || tryStart(context, state.queue.oldestOverdueBatch(rank)))
            return true;
        if (hasSeveralRanks(state) && holdsBackLessUrgent(state, rank))
            return false;
    }
    return false;
}

/// @return the requests that wait for a slot, those of the most urgent rank first.
auto byRank(const ShardState& state, const std::set<std::pair<TimePoint, RequestId>>& waiting) -> std::vector<RequestId>
{
    std::vector<RequestId> ids;
    ids.reserve(waiting.size());
    for (const auto& [time, id] : waiting)
        ids.push_back(id);
    if (hasSeveralRanks(state))
        std::ranges::stable_sort(ids, {}, [&](RequestId id) { return state.requests.at(id).rank; });
    return ids;
}

auto startPrefilled(DecisionContext& context) -> void
{
    FullVersions full;
    for (const auto id : byRank(context.state, context.state.prefilled)) {
        auto& request = *findRequest(context.state, id);
        if (full.contains(request) || awaitsCrashReports(context, request) || startDecode(context, request))
            continue;
        if (!full.add(context.state, request))
            return;
    }
}

/// Assigns free slots to running prefills that have none, before new requests can take them.
auto assignFreedSlots(DecisionContext& context) -> void
{
    FullVersions full;
    for (const auto id : byRank(context.state, context.state.prefillsWithoutSlot)) {
        auto& request = *findRequest(context.state, id);
        if (full.contains(request) || reserveDecode(context, request))
            continue;
        if (!full.add(context.state, request))
            return;
    }
}

}

auto consumeRetriesFor(DecisionContext& context, ActiveRequest& request, Placement& placement) -> bool
{
    constexpr std::uint32_t decodeCalls = 1;
    constexpr std::uint32_t prefillAndDecodeCalls = 2;
    if (tryConsumeRetries(context, request, placement.prefill ? prefillAndDecodeCalls : decodeCalls))
        return true;
    if (!placement.prefill || !placement.slotFree || !context.state.settings.decodeMayPrefill)
        return false;
    placement.prefill = nullptr;
    return tryConsumeRetries(context, request, decodeCalls);
}

auto startPlaced(DecisionContext& context, ActiveRequest& request, const Placement& placement) -> void
{
    auto& state = context.state;
    const auto isOverdue = request.subQueue == SubQueue::Overdue && request.latencyClass != LatencyClass::Batch;
    start(context, request, placement);
    if (request.attempt == 1)
        state.offeredLoad.started(request.rank, request.latencyClass, context.now);
    recordCopyStart(context, request);
    state.tokensSinceAgedStart += expectedTokens(state, request);
    state.startInterval.started(context.now, hasBacklog(context));
    if (isOverdue)
        state.overdueStartInterval.started(context.now, state.queue.overdueCount() > 0);
}

auto hasWaitingResume(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return std::ranges::any_of(oldestResumes(context.state), [&](RequestId id) {
        const auto& waiting = *findRequest(context.state, id);
        const auto takesSameRoom = !waiting.boundVersion || waiting.boundVersion == request.boundVersion || !hasSeveralVersions(context.state);
        return takesSameRoom && !awaitsCrashReports(context, waiting);
    });
}

auto dispatch(DecisionContext& context) -> void
{
    auto& state = context.state;
    state.retryWaits.advance(context.now);
    startPrefilled(context);
    assignFreedSlots(context);
    while (state.queue.size() && startOne(context)) { }
    // A prefill that was started for an expected slot takes a free one at once, not at the next event.
    assignFreedSlots(context);
    // The time in which all replicas are paused says nothing about the speed at which waiting work starts.
    const auto isPaused = pausesEndAt(state, context.now) > context.now;
    if (hasBacklog(context) && !isPaused)
        state.startInterval.backlogStarted(context.now);
    else
        state.startInterval.backlogEnded();
    if (state.queue.overdueCount() && !isPaused)
        state.overdueStartInterval.backlogStarted(context.now);
    else
        state.overdueStartInterval.backlogEnded();
}

}
