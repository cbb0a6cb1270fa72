#include "Dispatch.h"

#include "CrashAttribution.h"
#include "CrashCopies.h"
#include "Estimates.h"
#include "Placement.h"
#include "QueuedRequests.h"
#include "ReplicaPauses.h"
#include "RequestLifecycle.h"
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
    auto placement = choosePlacement(context, request, aged ? 0 : requiredSlotHeadroom(context, request));
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

/// @return the aged request that may start next, if enough tokens of other requests have started since the
/// last one.
auto agedRequest(const DecisionContext& context) -> std::optional<RequestId>
{
    const auto& queue = context.state.queue;
    for (const auto& id : { queue.oldestOverdueBatch(), queue.oldest(LatencyClass::Batch), queue.oldest(LatencyClass::Standard) }) {
        if (!isAged(context, id))
            continue;
        const auto tokens = expectedTokens(context.state, *findRequest(context.state, *id));
        return context.state.tokensSinceAgedStart >= tokensPerAgedToken * tokens ? id : std::nullopt;
    }
    return std::nullopt;
}

auto startFromClass(DecisionContext& context, LatencyClass latencyClass) -> bool
{
    std::array<RequestId, maxTriedFlows> heads {};
    const auto count = context.state.queue.heads(latencyClass, heads);
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
    if (startFromClass(context, LatencyClass::Interactive))
        return true;
    // Capacity that becomes free is kept for the aged request that does not fit yet. Only interactive
    // requests may start before it.
    if (dueAged)
        return false;
    return startFromClass(context, LatencyClass::Standard)
        || startFromClass(context, LatencyClass::Batch)
        || tryStart(context, state.queue.oldestOverdue())
        || tryStart(context, state.queue.oldestOverdueBatch());
}

auto startPrefilled(DecisionContext& context) -> void
{
    auto& prefilled = context.state.prefilled;
    FullVersions full;
    for (auto entry = prefilled.begin(); entry != prefilled.end();) {
        // A request that starts is removed.
        auto& request = *findRequest(context.state, (entry++)->second);
        if (full.contains(request) || awaitsCrashReports(context, request) || startDecode(context, request))
            continue;
        if (!full.add(context.state, request))
            return;
    }
}

/// Assigns free slots to running prefills that have none, before new requests can take them.
auto assignFreedSlots(DecisionContext& context) -> void
{
    auto& prefillsWithoutSlot = context.state.prefillsWithoutSlot;
    FullVersions full;
    for (auto entry = prefillsWithoutSlot.begin(); entry != prefillsWithoutSlot.end();) {
        // A request that gets a slot is removed.
        auto& request = *findRequest(context.state, (entry++)->second);
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
