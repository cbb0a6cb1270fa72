#pragma once

/// Walks the placement index: the least loaded replica of a zone that fits a request.

#include "DecisionContext.h"

#include <algorithm>
#include <cstddef>
#include <initializer_list>

namespace jayhold {

/// Replicas examined in each zone; bounds the cost of a decision.
constexpr std::size_t examinedPerZone = 8;

/// @return the least loaded replica of the zone that fits, other than the one the request avoids.
template <typename Fits>
auto leastLoadedInZone(DecisionContext& context, const ZoneIndex& zone, const ActiveRequest& request, Fits fits) -> Replica*
{
    std::size_t examined = 0;
    for (const auto& [load, id] : zone) {
        if (++examined > examinedPerZone)
            break;
        auto* replica = findReplica(context.state, id);
        if (request.avoidedReplica != id && fits(*replica))
            return replica;
    }
    return nullptr;
}

template <typename Fits>
auto leastLoadedInZone(DecisionContext& context, PoolRole role, ZoneId zone, const ActiveRequest& request, Fits fits) -> Replica*
{
    const auto& zones = context.state.index.ofRole(role);
    const auto found = zones.find(zone);
    return found == zones.end() ? nullptr : leastLoadedInZone(context, found->second, request, fits);
}

/// @return the replica with the least load among the best ones of all zones but those left out.
template <typename Fits>
auto leastLoadedElsewhere(DecisionContext& context, PoolRole role, std::initializer_list<ZoneId> leftOut, const ActiveRequest& request, Fits fits) -> Replica*
{
    Replica* best = nullptr;
    for (const auto& [id, zone] : context.state.index.ofRole(role)) {
        if (zone.empty() || std::find(leftOut.begin(), leftOut.end(), id) != leftOut.end())
            continue;
        if (best && zone.begin()->first >= best->indexKey)
            continue;
        auto* replica = leastLoadedInZone(context, zone, request, fits);
        if (replica && (!best || replica->indexKey < best->indexKey))
            best = replica;
    }
    return best;
}

/// @return the replica that the request avoids, if it takes work and fits: better than none.
template <typename Fits>
auto avoidedIfFits(DecisionContext& context, PoolRole role, const ActiveRequest& request, Fits fits) -> Replica*
{
    auto* replica = request.avoidedReplica ? findReplica(context.state, *request.avoidedReplica) : nullptr;
    return replica && replica->role() == role && replica->indexed && fits(*replica) ? replica : nullptr;
}

}
