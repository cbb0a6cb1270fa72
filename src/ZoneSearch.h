#pragma once

/// Searches the placement index for the least loaded replica of a zone that fits a request.

#include "DecisionContext.h"

#include <algorithm>
#include <cstddef>
#include <initializer_list>

namespace jayhold {

/// Number of replicas examined in each zone. Bounds the cost of a decision.
constexpr std::size_t examinedPerZone = 8;
/// The same for a request that may run at one software version only. It has no other replicas if none of these fits.
constexpr std::size_t examinedPerZoneOfVersion = 64;

/// @return the replicas at which the request may be placed, by zone.
inline auto candidatesOf(const ShardState& state, PoolRole role, const ActiveRequest& request) -> const std::map<ZoneId, ZoneIndex>&
{
    static const std::map<ZoneId, ZoneIndex> none;
    if (role == PoolRole::Prefill)
        return state.index.prefill;
    if (!request.boundVersion)
        return state.index.decode;
    const auto found = state.index.decodeByVersion.find(*request.boundVersion);
    return found == state.index.decodeByVersion.end() ? none : found->second;
}

/// @return the least loaded replica of the zone that fits, except the one that the request avoids; null
/// if there is none.
template <typename Fits>
auto leastLoadedInZone(DecisionContext& context, const ZoneIndex& zone, const ActiveRequest& request, Fits fits) -> Replica*
{
    const auto limit = request.boundVersion ? examinedPerZoneOfVersion : examinedPerZone;
    std::size_t examined = 0;
    for (const auto& [load, id] : zone) {
        if (++examined > limit)
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
    const auto& zones = candidatesOf(context.state, role, request);
    const auto found = zones.find(zone);
    return found == zones.end() ? nullptr : leastLoadedInZone(context, found->second, request, fits);
}

/// @param completion time until a replica has completed the request, in any unit.
/// @return the replica of the zone that fits and completes the request first, the least loaded of several; null if there is
/// none. The order of the index is that of a typical request, which another one can change at unequal speeds only.
template <typename Fits, typename Completion>
auto soonestInZone(DecisionContext& context, PoolRole role, ZoneId zone, const ActiveRequest& request, Fits fits, Completion completion) -> Replica*
{
    const auto& zones = candidatesOf(context.state, role, request);
    const auto found = zones.find(zone);
    if (found == zones.end())
        return nullptr;
    Replica* best = nullptr;
    std::size_t examined = 0;
    for (const auto& [load, id] : found->second) {
        if (++examined > examinedPerZone)
            break;
        auto* replica = findReplica(context.state, id);
        if (best && completion(*replica) >= completion(*best))
            continue;
        if (request.avoidedReplica != id && fits(*replica))
            best = replica;
    }
    return best;
}

/// @return the least loaded of the best replicas of all zones, except the excluded ones.
template <typename Fits>
auto leastLoadedElsewhere(DecisionContext& context, PoolRole role, std::initializer_list<ZoneId> excludedZones, const ActiveRequest& request, Fits fits) -> Replica*
{
    Replica* best = nullptr;
    for (const auto& [id, zone] : candidatesOf(context.state, role, request)) {
        if (zone.empty() || std::find(excludedZones.begin(), excludedZones.end(), id) != excludedZones.end())
            continue;
        if (best && zone.begin()->first >= best->indexKey)
            continue;
        auto* replica = leastLoadedInZone(context, zone, request, fits);
        if (replica && (!best || replica->indexKey < best->indexKey))
            best = replica;
    }
    return best;
}

/// @return the replica that the request avoids if it accepts work and fits, for use when there is no
/// other.
template <typename Fits>
auto avoidedIfFits(DecisionContext& context, PoolRole role, const ActiveRequest& request, Fits fits) -> Replica*
{
    auto* replica = request.avoidedReplica ? findReplica(context.state, *request.avoidedReplica) : nullptr;
    return replica && replica->role() == role && replica->indexed && fits(*replica) ? replica : nullptr;
}

}
