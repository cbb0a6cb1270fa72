#include "ReplicaIndex.h"

#include "ReplicaHealth.h"
#include "ReplicaPauses.h"
#include "ReservationAccounting.h"
#include "SpeedEstimates.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr int tieBreakBits = 16;
/// Assumed for each prefill of a peer if only the number of prefills is known, and for the next request.
constexpr std::uint64_t assumedPromptTokens = 2'000;
/// Time for one token on an idle decode replica, in units of what is added until the replica is full. With less, slow
/// replicas get so much work that its tokens are late; with more, the fast ones run out of memory before the slow ones get
/// work.
constexpr std::uint64_t idleDecodeLoad = loadScale / 2;

auto usedFraction(std::uint64_t used, std::uint64_t total) -> std::uint64_t
{
    return total ? used * loadScale / total : 0;
}

/// Orders replicas of equal load differently on each instance, so that instances with the same reports
/// do not all choose the same replica.
auto tieBreak(std::uint64_t seed, ReplicaId id) -> std::uint64_t
{
    constexpr std::uint64_t multiplier = 0x9E37'79B9'7F4A'7C15;
    return ((seed + 1) * multiplier ^ (static_cast<std::uint64_t>(id) + 1) * multiplier) * multiplier >> (64 - tieBreakBits);
}

auto indexKey(const ShardState& state, const Replica& replica) -> std::uint64_t
{
    // In proportion to the time in which the next request would be completed. At equal speeds the order is that of the load.
    const auto load = replica.role() == PoolRole::Prefill ? prefillLoad(replica) + assumedPromptTokens : decodeLoad(replica) + idleDecodeLoad;
    return atSpeed(load, replica) << tieBreakBits | tieBreak(state.settings.seed, replica.description.replica);
}

/// After an ejection the replica gets one request at a time until one succeeds.
auto probeAllowed(const Replica& replica) -> bool
{
    return replica.consecutiveFailures < failuresBeforeEjection || replica.reserved.slots == 0;
}

auto countPause(ShardState& state, Replica& replica, TimePoint now) -> void
{
    auto& pauses = replica.role() == PoolRole::Prefill ? state.prefillPauses : state.decodePauses;
    if (replica.countedPause)
        pauses.erase(pauses.find(*replica.countedPause));
    replica.countedPause.reset();
    if (replica.description.state == ReplicaState::Live && replica.pausedUntil > now)
        replica.countedPause = *pauses.insert(replica.pausedUntil);
}

auto countFreeSlots(ShardState& state, Replica& replica) -> void
{
    if (replica.role() != PoolRole::Decode)
        return;
    const auto live = replica.description.state == ReplicaState::Live && !replica.countedPause;
    const auto used = std::int64_t { replica.reserved.slots } + replica.peerSlots;
    const auto free = live ? std::max<std::int64_t>(replica.description.slots - used, 0) : 0;
    state.freeDecodeSlots += free - replica.countedFreeSlots;
    replica.countedFreeSlots = free;
    const auto all = live ? std::int64_t { replica.description.slots } : 0;
    state.decodeSlots += all - replica.countedSlots;
    replica.countedSlots = all;
}

auto nextTimer(const Replica& replica, TimePoint now) -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto time : { replica.busyUntil, replica.ejectedUntil, replica.pausedUntil, replica.crashReportWaitUntil, processKnownAt(replica), nextSpeedCheck(replica) }) {
        if (time > now)
            next = std::min(next, time);
    }
    if (const auto call = replica.allowance ? replica.allowance->nextCallAt(now) : now; call > now)
        next = std::min(next, call);
    return replica.slotAllowance ? std::min(next, replica.slotAllowanceUntil) : next;
}

}

auto prefillLoad(const Replica& replica) -> std::uint64_t
{
    const auto peers = replica.peerPrefillTokens ? std::uint64_t { replica.peerPrefillTokens } : std::uint64_t { replica.peerSlots } * assumedPromptTokens;
    return replica.reserved.prefillTokens + peers;
}

auto atSpeed(std::uint64_t load, const Replica& replica) -> std::uint64_t
{
    return static_cast<std::uint64_t>(static_cast<double>(load) / replica.expectedSpeed);
}

auto decodeLoad(const Replica& replica) -> std::uint64_t
{
    return decodeLoad(replica, replica.reserved);
}

auto decodeLoad(const Replica& replica, const Reservation& reserved) -> std::uint64_t
{
    const auto& description = replica.description;
    const auto slots = usedFraction(std::uint64_t { reserved.slots } + replica.peerSlots, description.slots);
    const auto memoryBlocks = usedFraction(std::uint64_t { reserved.memoryBlocks } + replica.peerMemoryBlocks, description.memoryBlocks);
    return std::max(slots, memoryBlocks);
}

auto workObstacle(const Replica& replica, TimePoint now) -> std::optional<PlacementObstacle>
{
    if (replica.description.state != ReplicaState::Live)
        return PlacementObstacle::NotLive;
    if (replica.busyUntil > now)
        return PlacementObstacle::Rejecting;
    if (replica.ejectedUntil > now)
        return PlacementObstacle::Ejected;
    if (replica.crashReportWaitUntil > now)
        return PlacementObstacle::CrashReports;
    if (isPausedOrReturning(replica, now))
        return PlacementObstacle::Paused;
    if (replica.isolatedSuspect)
        return PlacementObstacle::IsolatedSuspect;
    if (replica.allowance && replica.role() != PoolRole::Prefill && !replica.allowance->hasCall(now))
        return PlacementObstacle::CallLimit;
    if (!probeAllowed(replica))
        return PlacementObstacle::Probe;
    if (!freeSlots(replica))
        return PlacementObstacle::Slots;
    return std::nullopt;
}

namespace {

auto eraseEntry(PlacementIndex& index, const Replica& replica) -> void
{
    const auto& description = replica.description;
    const PlacementEntry entry { replica.indexKey, description.replica };
    index.ofRole(description.role)[description.zone].erase(entry);
    const auto version = index.decodeByVersion.find(description.version);
    if (description.role != PoolRole::Decode || version == index.decodeByVersion.end())
        return;
    auto& zones = version->second;
    if (const auto zone = zones.find(description.zone); zone != zones.end() && zone->second.erase(entry) && zone->second.empty())
        zones.erase(zone);
    if (zones.empty())
        index.decodeByVersion.erase(version);
}

auto insertEntry(PlacementIndex& index, const ReplicaChanged& description, std::uint64_t key) -> void
{
    index.ofRole(description.role)[description.zone].emplace(key, description.replica);
    if (description.role == PoolRole::Decode)
        index.decodeByVersion[description.version][description.zone].emplace(key, description.replica);
}

}

auto removeFromIndex(DecisionContext& context, Replica& replica) -> void
{
    if (replica.indexed)
        eraseEntry(context.state.index, replica);
    replica.indexed = false;
}

auto updateIndex(DecisionContext& context, Replica& replica) -> void
{
    refreshExpectedSpeed(replica, context.now);
    countPause(context.state, replica, context.now);
    countFreeSlots(context.state, replica);
    const auto accepts = !workObstacle(replica, context.now);
    const auto key = indexKey(context.state, replica);
    if (replica.indexed && (!accepts || key != replica.indexKey))
        eraseEntry(context.state.index, replica);
    if (accepts && (!replica.indexed || key != replica.indexKey))
        insertEntry(context.state.index, replica.description, key);
    replica.indexed = accepts;
    replica.indexKey = key;
    context.state.timers.move(replica.description.replica, replica.timerAt, nextTimer(replica, context.now));
}

}
