#include "LoadReports.h"

#include "ReplicaIndex.h"
#include "ReservationAccounting.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Longer than reports are late or out of order.
constexpr Duration restartGap = std::chrono::seconds(5);
/// Reports come several times a second; without them the share of the last one means nothing.
constexpr Duration allowanceLifetime = std::chrono::seconds(2);

struct OwnUse {
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
auto ownUse(ShardState& state, const Replica& replica, TimePoint asOf) -> OwnUse
{
    OwnUse own;
    for (const auto owner : replica.owners) {
        const auto& request = *findRequest(state, owner);
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

auto difference(std::uint32_t all, std::uint32_t part) -> std::uint32_t
{
    return all > part ? all - part : 0;
}

/// @return how many of the free seats this instance may take until the next report. Shares are
/// rounded at random, so that the instances together take about what is free.
auto slotShare(ShardState& state, std::uint32_t freeSlots) -> std::uint32_t
{
    const auto sharing = state.settings.sharingInstances;
    const auto remainder = freeSlots % sharing;
    std::uniform_int_distribution<std::uint32_t> draw(0, sharing - 1);
    return freeSlots / sharing + (draw(state.random) < remainder ? 1 : 0);
}

/// @return seats on one decode replica that others have in mind for prefills under way, which no
/// report shows. The others are taken to be as busy as this instance.
auto othersPending(ShardState& state) -> std::uint32_t
{
    const auto pending = std::uint64_t { state.prefilling } * (state.settings.sharingInstances - 1);
    const auto replicas = std::max<std::uint64_t>(state.decodeCapacities.size(), 1);
    std::uniform_int_distribution<std::uint64_t> draw(0, replicas - 1);
    return static_cast<std::uint32_t>(pending / replicas + (draw(state.random) < pending % replicas ? 1 : 0));
}

auto learnOthers(DecisionContext& context, Replica& replica, const ReplicaLoad& event) -> void
{
    auto& state = context.state;
    const auto own = ownUse(state, replica, event.asOf);
    const auto used = event.running + event.waiting;
    replica.peerSlots = difference(used, own.running);
    const auto usedMemoryBlocks = difference(replica.description.memoryBlocks, event.freeMemoryBlocks);
    const auto pending = replica.role() == PoolRole::Decode ? othersPending(state) : 0;
    replica.peerMemoryBlocks = difference(usedMemoryBlocks, own.memoryBlocks) + static_cast<std::uint32_t>(pending * state.meanDecodeMemoryBlocks);
    replica.slotAllowanceUntil = context.now + allowanceLifetime;
    if (event.asOf < replica.lastRejectedAt)
        return;
    const auto taken = replica.reserved.slots + replica.peerSlots + pending;
    replica.slotAllowance = slotShare(state, difference(replica.description.slots, taken));
}

/// The engine holds memory for a request that is not there, or that left it before the report.
auto isLeftover(ShardState& state, RequestId id, const ReplicaLoad& event) -> bool
{
    const auto* request = findRequest(state, id);
    if (!request)
        return true;
    return request->prefill != event.replica && request->decode != event.replica && request->phaseStartedAt <= event.asOf;
}

/// A restarted engine counts from the start again; its reports are recognised by their time.
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
        const auto use = std::find_if(event.uses.begin(), event.uses.end(), [id](const ReplicaUsage& told) { return told.replica == id; });
        const auto known = use == event.uses.end() ? ReplicaUsage {} : *use;
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
    if (context.state.settings.sharingInstances > 1)
        learnOthers(context, *replica, event);
    for (const auto held : event.held) {
        if (isLeftover(context.state, held, event))
            context.actions.emplace_back(CancelOnReplica { held, event.replica });
    }
    updateIndex(context, *replica);
}

}
