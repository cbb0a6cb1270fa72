#include "ReplicaIndex.h"

#include "Ledger.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr int tieBits = 16;
/// Taken for the prompt of another instance's prefill, of which only the number is known.
constexpr std::uint64_t othersPrefillTokens = 2'000;

auto usedPart(std::uint64_t used, std::uint64_t total) -> std::uint64_t
{
    return total ? used * loadScale / total : 0;
}

auto prefillLoad(const Replica& replica) -> std::uint64_t
{
    const auto others = replica.othersPrefillTokens ? std::uint64_t { replica.othersPrefillTokens } : std::uint64_t { replica.othersSeats } * othersPrefillTokens;
    return replica.reserved.prefillTokens + others;
}

/// Orders replicas of equal load differently on each instance, so that instances that see the same
/// reports don't all choose the same replica.
auto tieBreak(std::uint64_t seed, ReplicaId id) -> std::uint64_t
{
    constexpr std::uint64_t multiplier = 0x9E37'79B9'7F4A'7C15;
    return ((seed + 1) * multiplier ^ (static_cast<std::uint64_t>(id) + 1) * multiplier) * multiplier >> (64 - tieBits);
}

auto indexKey(const ShardState& state, const Replica& replica) -> std::uint64_t
{
    const auto load = replica.role() == PoolRole::Prefill ? prefillLoad(replica) : decodeLoad(replica);
    return load << tieBits | tieBreak(state.settings.seed, replica.description.replica);
}

/// After an ejection the replica gets one request at a time until one succeeds.
auto probeAllowed(const Replica& replica) -> bool
{
    return replica.consecutiveFailures < failuresBeforeEjection || replica.reserved.seats == 0;
}

auto countFreeSeats(ShardState& state, Replica& replica) -> void
{
    if (replica.role() != PoolRole::Decode)
        return;
    const auto live = replica.description.state == ReplicaState::Live;
    const auto used = std::int64_t { replica.reserved.seats } + replica.othersSeats;
    const auto free = live ? std::max<std::int64_t>(replica.description.seats - used, 0) : 0;
    state.freeDecodeSeats += free - replica.countedFreeSeats;
    replica.countedFreeSeats = free;
    const auto all = live ? std::int64_t { replica.description.seats } : 0;
    state.decodeSeats += all - replica.countedSeats;
    replica.countedSeats = all;
}

auto nextTimer(const Replica& replica, TimePoint now) -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto time : { replica.busyUntil, replica.ejectedUntil, replica.settlesAt }) {
        if (time > now)
            next = std::min(next, time);
    }
    return replica.seatAllowance ? std::min(next, replica.allowanceUntil) : next;
}

}

auto decodeLoad(const Replica& replica) -> std::uint64_t
{
    return decodeLoad(replica, replica.reserved);
}

auto decodeLoad(const Replica& replica, const Reservation& reserved) -> std::uint64_t
{
    const auto& description = replica.description;
    const auto seats = usedPart(std::uint64_t { reserved.seats } + replica.othersSeats, description.seats);
    const auto pieces = usedPart(std::uint64_t { reserved.pieces } + replica.othersPieces, description.memoryPieces);
    return std::max(seats, pieces);
}

auto acceptsWork(const Replica& replica, TimePoint now) -> bool
{
    return replica.description.state == ReplicaState::Live
        && replica.busyUntil <= now
        && replica.ejectedUntil <= now
        && replica.settlesAt <= now
        && !replica.probationer
        && probeAllowed(replica)
        && freeSeats(replica) > 0;
}

auto removeFromIndex(DecisionContext& context, Replica& replica) -> void
{
    const auto& description = replica.description;
    if (replica.indexed)
        context.state.index.ofRole(description.role)[description.zone].erase({ replica.indexKey, description.replica });
    replica.indexed = false;
}

auto updateIndex(DecisionContext& context, Replica& replica) -> void
{
    countFreeSeats(context.state, replica);
    const auto& description = replica.description;
    auto& zone = context.state.index.ofRole(description.role)[description.zone];
    const auto accepts = acceptsWork(replica, context.now);
    const auto key = indexKey(context.state, replica);
    if (replica.indexed && (!accepts || key != replica.indexKey))
        zone.erase({ replica.indexKey, description.replica });
    if (accepts && (!replica.indexed || key != replica.indexKey))
        zone.emplace(key, description.replica);
    replica.indexed = accepts;
    replica.indexKey = key;
    context.state.timers.move(description.replica, replica.timerAt, nextTimer(replica, context.now));
}

}
