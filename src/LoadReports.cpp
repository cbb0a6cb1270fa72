#include "LoadReports.h"

#include "ReplicaIndex.h"
#include "ReservationAccounting.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Exceeds the time by which reports are late or out of order.
constexpr Duration restartGap = std::chrono::seconds(5);
/// Reports come several times a second. Without new ones, the share computed from the last report is
/// meaningless.
constexpr Duration allowanceTtl = std::chrono::seconds(2);

struct OwnUsage {
    std::uint32_t running = 0;
    std::uint32_t memoryBlocks = 0;
};

auto runsOn(const ActiveRequest& request, ReplicaId id) -> bool
{
    const auto prefilling = request.phase == RequestPhase::Prefilling && request.prefill == id;
    const auto decoding = (request.phase == RequestPhase::Starting || request.phase == RequestPhase::Decoding) && request.decode == id;
    return prefilling || decoding;
}

/// @return what this shard ran on the replica when the report was made.
auto ownUsageAt(ShardState& state, const Replica& replica, TimePoint asOf) -> OwnUsage
{
    OwnUsage own;
    for (const auto requestId : replica.requests) {
        const auto& request = *findRequest(state, requestId);
        if (request.phaseStartedAt > asOf)
            continue;
        const auto running = runsOn(request, replica.description.replica);
        own.running += running;
        // A finished prefill still holds its memory until the result is fetched.
        if (replica.role() == PoolRole::Prefill)
            own.memoryBlocks += request.prefillReserved.memoryBlocks;
        else if (running)
            own.memoryBlocks += request.decodeReserved.memoryBlocks;
    }
    for (const auto& use : replica.recentUsages) {
        if (!use.covers(asOf))
            continue;
        ++own.running;
        own.memoryBlocks += use.memoryBlocks;
    }
    return own;
}

auto saturatingSubtract(std::uint32_t all, std::uint32_t part) -> std::uint32_t
{
    return all > part ? all - part : 0;
}

/// @return how many of the free slots this instance may take until the next report. Shares are rounded
/// at random so that all instances together take about the number of free slots.
auto slotShare(ShardState& state, std::uint32_t freeSlots) -> std::uint32_t
{
    const auto instances = assumedInstances(state.settings);
    const auto remainder = freeSlots % instances;
    std::uniform_int_distribution<std::uint32_t> draw(0, instances - 1);
    return freeSlots / instances + (draw(state.random) < remainder ? 1 : 0);
}

/// @return slots on one decode replica that peers intend to take for prefills in progress, which no
/// report shows. Peers are assumed to be as busy as this instance.
auto peerPendingSlots(ShardState& state) -> std::uint32_t
{
    const auto pending = std::uint64_t { state.prefilling } * (assumedInstances(state.settings) - 1);
    const auto replicas = std::max<std::uint64_t>(state.decodeCapacities.size(), 1);
    std::uniform_int_distribution<std::uint64_t> draw(0, replicas - 1);
    return static_cast<std::uint32_t>(pending / replicas + (draw(state.random) < pending % replicas ? 1 : 0));
}

auto updatePeerEstimate(DecisionContext& context, Replica& replica, const ReplicaLoad& event) -> void
{
    auto& state = context.state;
    const auto own = ownUsageAt(state, replica, event.asOf);
    const auto used = event.running + event.waiting;
    replica.peerSlots = saturatingSubtract(used, own.running);
    const auto usedMemoryBlocks = saturatingSubtract(replica.description.memoryBlocks, event.freeMemoryBlocks);
    const auto pending = replica.role() == PoolRole::Decode ? peerPendingSlots(state) : 0;
    replica.peerMemoryBlocks = saturatingSubtract(usedMemoryBlocks, own.memoryBlocks) + static_cast<std::uint32_t>(pending * state.meanDecodeMemoryBlocks);
    replica.slotAllowanceUntil = context.now + allowanceTtl;
    if (event.asOf < replica.lastRejectedAt)
        return;
    const auto taken = replica.reserved.slots + replica.peerSlots + pending;
    replica.slotAllowance = slotShare(state, saturatingSubtract(replica.description.slots, taken));
}

/// Whether the engine holds memory for a request that the shard does not know, or that had left the
/// replica before the report.
auto isOrphaned(ShardState& state, RequestId id, const ReplicaLoad& event) -> bool
{
    const auto* request = findRequest(state, id);
    if (!request)
        return true;
    const auto runsThere = request->prefill == event.replica || request->decode == event.replica || request->fallback == event.replica;
    return !runsThere && request->phaseStartedAt <= event.asOf;
}

/// The sequence numbers of a restarted engine start again from the beginning, so its reports are
/// recognised by their time.
auto isOutdated(const Replica& replica, const ReplicaLoad& event) -> bool
{
    return event.sequence <= replica.reportSequence && event.asOf < replica.reportAsOf + restartGap;
}

}

auto handle(DecisionContext& context, const PeerUsage& event) -> void
{
    for (auto& entry : context.state.replicas) {
        auto& replica = entry.second;
        const auto id = entry.first;
        const auto use = std::find_if(event.usages.begin(), event.usages.end(), [id](const ReplicaUsage& usage) { return usage.replica == id; });
        const auto known = use == event.usages.end() ? ReplicaUsage {} : *use;
        replica.peerSlots = known.slots;
        replica.peerMemoryBlocks = known.memoryBlocks;
        replica.peerPrefillTokens = known.prefillTokens;
        updateIndex(context, replica);
    }
}

auto handle(DecisionContext& context, const ReplicaLoad& event) -> void
{
    auto* replica = findReplica(context.state, event.replica);
    if (!replica || isOutdated(*replica, event))
        return;
    replica->reportSequence = event.sequence;
    replica->reportAsOf = event.asOf;
    if (context.state.settings.instanceCount > 1)
        updatePeerEstimate(context, *replica, event);
    for (const auto held : event.held) {
        if (isOrphaned(context.state, held, event))
            context.actions.emplace_back(CancelOnReplica { held, event.replica });
    }
    updateIndex(context, *replica);
}

}
