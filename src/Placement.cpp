#include "Placement.h"

#include "CrashAttribution.h"
#include "Estimates.h"
#include "PrefillChoice.h"
#include "ReplicaHealth.h"
#include "ReplicaIndex.h"
#include "ReplicaPauses.h"
#include "RequestRanks.h"
#include "ReservationAccounting.h"
#include "SlotHeadroom.h"
#include "ZoneSearch.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Maximum time that a transfer may wait for the link. After a longer wait the prefill result could
/// expire.
constexpr double maxLinkSeconds = 0.4;

auto linkHasCapacity(const Replica& replica, std::uint64_t bytes) -> bool
{
    const auto rate = static_cast<double>(replica.description.linkBytesPerSecond);
    // A single transfer gets the link even if it takes long. Otherwise it would never run.
    return rate <= 0 || !replica.reserved.linkBytes || static_cast<double>(replica.reserved.linkBytes + bytes) <= rate * maxLinkSeconds;
}

/// Fraction of the memory that an overdue request leaves free. It is worth less than requests that can
/// still meet their target, and would take their memory for seconds.
constexpr double overdueHeadroomFraction = 0.25;

/// Memory blocks that the request leaves free. Peers take memory that no report shows yet, and the
/// prefill of a long prompt is wasted if its decode is refused for lack of memory. Batch work can wait
/// until there is room for two requests of its size.
auto requiredInstanceHeadroom(const DecisionContext& context, const ActiveRequest& request, const Replica& replica, std::uint32_t memoryBlocks) -> std::uint32_t
{
    if (context.state.settings.instanceCount < 2)
        return 0;
    // Less urgent requests make room for an overdue one of a more urgent rank.
    if (request.subQueue == SubQueue::Overdue && !hasLessUrgentRank(context.state, request))
        return static_cast<std::uint32_t>(replica.description.memoryBlocks * overdueHeadroomFraction);
    if (request.latencyClass != LatencyClass::Batch || request.subQueue == SubQueue::Resume)
        return 0;
    // A request that needs more than half of the memory only waits for an empty replica.
    const auto total = replica.description.memoryBlocks;
    return std::min(memoryBlocks, total - std::min(memoryBlocks, total));
}

/// @return memory blocks that the request leaves free for more urgent ranks. A large request finds its memory in one piece less
/// often, so it may use part of the headroom and needs no more free memory than one of mean size.
auto headroomForMoreUrgent(const DecisionContext& context, const ActiveRequest& request, const Replica& replica, std::uint32_t memoryBlocks) -> std::uint32_t
{
    const auto wanted = memoryBlocksFor(replica, memoryForMoreUrgent(context, request, replica));
    const auto excess = memoryBlocks - std::min(memoryBlocks, static_cast<std::uint32_t>(context.state.meanDecodeMemoryBlocks));
    const auto rest = replica.description.memoryBlocks - std::min(memoryBlocks, replica.description.memoryBlocks);
    return std::min(wanted - std::min(excess, wanted), rest);
}

/// @return memory blocks that the request leaves free on the replica, for other instances and for more urgent ranks.
auto requiredMemoryHeadroom(const DecisionContext& context, const ActiveRequest& request, const Replica& replica, std::uint32_t memoryBlocks) -> std::uint32_t
{
    return std::max(requiredInstanceHeadroom(context, request, replica, memoryBlocks), headroomForMoreUrgent(context, request, replica, memoryBlocks));
}

}

auto decodeReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto& state = context.state;
    auto memoryBlocks = memoryBlocksFor(replica, reservedTokens(state, request));
    // An answer that may outgrow the replica still runs where its prompt fits.
    if (tokenCapacity(replica) > request.arrival.promptTokens && replica.description.memoryBlocks)
        memoryBlocks = std::min(memoryBlocks, replica.description.memoryBlocks);
    return { .linkBytes = transferBytes(state, request), .slots = 1, .memoryBlocks = memoryBlocks };
}

auto prefillReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto tokens = request.arrival.promptTokens;
    const auto cached = expectedCachedTokens(context.state, request, replica.description.replica);
    return {
        .linkBytes = transferBytes(context.state, request),
        .slots = 1,
        .memoryBlocks = memoryBlocksFor(replica, tokens),
        .prefillTokens = tokens - cached,
    };
}

auto prefillObstacle(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::optional<PlacementObstacle>
{
    if (replica.allowance && isLimitedCall(request, replica) && !replica.allowance->hasCall(context.now))
        return PlacementObstacle::CallLimit;
    if (!hasFreeMemoryBlocks(replica, memoryBlocksFor(replica, request.arrival.promptTokens)))
        return PlacementObstacle::Memory;
    if (!linkHasCapacity(replica, transferBytes(context.state, request)))
        return PlacementObstacle::Link;
    return std::nullopt;
}

auto mayDecodeAt(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> bool
{
    if (!request.boundVersion)
        return true;
    return *request.boundVersion == replica.description.version && (*request.boundVersion == unknownVersion || processKnownAt(replica) <= context.now);
}

auto decodeMemoryNeed(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::uint32_t
{
    const auto memoryBlocks = decodeReservation(context, request, replica).memoryBlocks;
    return memoryBlocks + requiredMemoryHeadroom(context, request, replica, memoryBlocks);
}

auto decodeObstacle(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::optional<PlacementObstacle>
{
    if (!mayDecodeAt(context, request, replica))
        return PlacementObstacle::Version;
    if (!hasFreeMemoryBlocks(replica, decodeMemoryNeed(context, request, replica)))
        return PlacementObstacle::Memory;
    if (!linkHasCapacity(replica, transferBytes(context.state, request)))
        return PlacementObstacle::Link;
    return std::nullopt;
}

auto decodeCost(const Replica& replica) -> std::uint64_t
{
    return atSpeed(decodeLoad(replica), replica);
}

auto chooseDecode(DecisionContext& context, const ActiveRequest& request, ZoneId prefillZone) -> Replica*
{
    const auto fits = [&](const Replica& replica) { return !decodeObstacle(context, request, replica); };
    const auto local = context.state.settings.localZone;
    // A transfer within a zone is preferred.
    auto* near = leastLoadedInZone(context, PoolRole::Decode, prefillZone, request, fits);
    if (!near)
        near = leastLoadedInZone(context, PoolRole::Decode, local, request, fits);
    auto* far = leastLoadedElsewhere(context, PoolRole::Decode, { prefillZone, local }, request, fits);
    if (near && far)
        return decodeCost(*near) > decodeCost(*far) + otherZoneLoadPenalty ? far : near;
    if (near || far)
        return near ? near : far;
    return avoidedIfFits(context, PoolRole::Decode, request, fits);
}

auto slotMemory(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> SlotMemory
{
    const auto start = std::uint64_t { request.arrival.promptTokens } + request.emitted;
    const auto end = reservedTokens(context.state, request);
    return slotMemory(start, end - std::min(start, end), tokenCapacity(replica));
}

namespace {

/// @return a live decode replica where a slot is expected to become free soon.
auto findReplicaWithExpectedSlot(DecisionContext& context, const ActiveRequest& request, Duration prefill) -> Replica*
{
    // The first ends may be at other versions.
    const auto latestEnd = request.boundVersion ? context.now + expectedSlotTime(context.state, prefill) : TimePoint::max();
    Replica* replica = nullptr;
    const auto found = context.state.decodeEnds.firstAfter(context.now, [&](RequestId id) {
        const auto* ending = findRequest(context.state, id);
        if (!ending || ending->phase != RequestPhase::Decoding || ending->expectedEnd > latestEnd)
            return false;
        replica = findReplica(context.state, *ending->decode);
        if (!replica || !mayDecodeAt(context, request, *replica) || replica->description.state != ReplicaState::Live || isPausedOrReturning(*replica, context.now))
            return false;
        // Its limit may not allow for the decode when the slot is free, and the prefill would be wasted.
        if (replica->allowance)
            return false;
        // The memory must be free now, because the ending request may be a small one.
        const auto memoryBlocks = decodeReservation(context, request, *replica).memoryBlocks;
        return hasFreeMemoryBlocks(*replica, memoryBlocks + headroomForMoreUrgent(context, request, *replica, memoryBlocks));
    });
    return found ? replica : nullptr;
}

/// A decode replica prefills at half the speed of a prefill replica.
constexpr int decodePrefillSlowdown = 2;
/// Number of failed fetches of a prefill result after which the request is placed without a prefill
/// replica.
constexpr int maxKvFetchFailures = 1;

/// @return whether a decode replica that prefills itself responds sooner than the prefill replica.
auto isSlowerThanDecodePrefill(const ShardState& state, const ActiveRequest& request, const Replica& prefill) -> bool
{
    const std::uint64_t own = request.arrival.promptTokens;
    return prefillTime(state, prefill, std::uint64_t { prefill.reserved.prefillTokens } + prefill.peerPrefillTokens + own) > prefillTime(state, own) * (decodePrefillSlowdown + 1);
}

auto prefersDecodePrefill(const ShardState& state, const ActiveRequest& request, const Replica* prefill) -> bool
{
    if (!state.settings.decodeMayPrefill)
        return false;
    return !prefill || request.kvFetchFailures >= maxKvFetchFailures || isSlowerThanDecodePrefill(state, request, *prefill);
}

auto hasFreeDecode(const ShardState& state, const ActiveRequest& request) -> bool
{
    const auto& zones = candidatesOf(state, PoolRole::Decode, request);
    return std::any_of(zones.begin(), zones.end(), [](const auto& zone) { return !zone.second.empty(); });
}

}

auto choosePlacement(DecisionContext& context, const ActiveRequest& request, std::int64_t slotHeadroom) -> std::optional<Placement>
{
    if (awaitsCrashReports(context, request))
        return std::nullopt;
    // Without a free or expected slot, the more expensive choice of a prefill replica is skipped.
    const auto slotIsFree = hasFreeDecode(context.state, request) && context.state.freeDecodeSlots > slotHeadroom;
    if (!slotIsFree && !slotExpected(context, prefillTime(context.state, request.arrival.promptTokens), slotHeadroom))
        return std::nullopt;
    auto* prefill = choosePrefill(context, request);
    if (prefersDecodePrefill(context.state, request, prefill)) {
        auto* decode = slotIsFree ? chooseDecode(context, request, context.state.settings.localZone) : nullptr;
        if (decode)
            return Placement { nullptr, decode, true };
    }
    if (!prefill)
        return std::nullopt;
    if (auto* decode = slotIsFree ? chooseDecode(context, request, prefill->description.zone) : nullptr)
        return Placement { prefill, decode, true };
    // A prefill that starts before its slot is free takes that slot ahead of the queue. Batch work
    // would take the next slots from interactive work that arrives in the meantime.
    if (request.latencyClass == LatencyClass::Batch)
        return std::nullopt;
    // A suspect does not start without a free slot, because its replica must have no other suspect.
    if (request.crashSuspicion == CrashSuspicion::Suspect)
        return std::nullopt;
    const auto tokens = prefill->reserved.prefillTokens + request.arrival.promptTokens;
    const auto time = prefillTime(context.state, *prefill, tokens);
    if (!slotExpected(context, time, slotHeadroom))
        return std::nullopt;
    if (auto* decode = findReplicaWithExpectedSlot(context, request, time))
        return Placement { prefill, decode, false };
    return std::nullopt;
}

}
