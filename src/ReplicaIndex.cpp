#include "ReplicaIndex.h"

#include "Ledger.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Load in units fine enough that small differences in free memory still order replicas.
constexpr std::uint64_t loadScale = 1'024;

auto decodeLoad(const Replica& replica) -> std::uint64_t
{
    const std::uint64_t used = replica.reserved.seats + replica.othersSeats;
    return used * loadScale / std::max(replica.description.seats, 1U);
}

auto prefillLoad(const Replica& replica) -> std::uint64_t
{
    const std::uint64_t others = replica.othersSeats;
    return replica.reserved.prefillTokens + others * loadScale;
}

/// After an ejection the replica gets one request at a time until one succeeds.
auto probeAllowed(const Replica& replica) -> bool
{
    return replica.consecutiveFailures < failuresBeforeEjection || replica.reserved.seats == 0;
}

auto nextTimer(const Replica& replica, TimePoint now) -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto time : { replica.busyUntil, replica.ejectedUntil }) {
        if (time > now)
            next = std::min(next, time);
    }
    return replica.seatAllowance ? std::min(next, replica.allowanceUntil) : next;
}

}

auto acceptsWork(const Replica& replica, TimePoint now) -> bool
{
    return replica.description.state == ReplicaState::Live
        && replica.busyUntil <= now
        && replica.ejectedUntil <= now
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
    const auto& description = replica.description;
    auto& zone = context.state.index.ofRole(description.role)[description.zone];
    const auto accepts = acceptsWork(replica, context.now);
    const auto key = description.role == PoolRole::Prefill ? prefillLoad(replica) : decodeLoad(replica);
    if (replica.indexed && (!accepts || key != replica.indexKey))
        zone.erase({ replica.indexKey, description.replica });
    if (accepts && (!replica.indexed || key != replica.indexKey))
        zone.emplace(key, description.replica);
    replica.indexed = accepts;
    replica.indexKey = key;
    context.state.timers.move(description.replica, replica.timerAt, nextTimer(replica, context.now));
}

}
