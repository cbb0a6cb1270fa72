#include "PrefillChoice.h"

#include "Estimates.h"
#include "Placement.h"
#include "ReplicaIndex.h"
#include "ZoneSearch.h"

#include <algorithm>

namespace jayhold {

namespace {

/// A prefill in another zone must end this much earlier, since the links between zones are shared and
/// caches fill up per zone. The lower cost applies to the zone that already gets prefills, so that
/// small differences in load do not move the work back and forth.
constexpr Duration otherZoneCost = std::chrono::milliseconds(60);
constexpr Duration currentZoneCost = std::chrono::milliseconds(20);
/// The replica of a failed attempt is used only if there is no other.
constexpr Duration avoidedReplicaCost = std::chrono::seconds(5);

auto zoneCost(const ShardState& state, ZoneId zone) -> Duration
{
    if (zone == state.settings.localZone)
        return Duration::zero();
    return state.remotePrefillZone == zone ? currentZoneCost : otherZoneCost;
}

struct Choice {
    Replica* replica = nullptr;
    Duration cost = Duration::max();
};

class Chooser {
public:
    Chooser(DecisionContext& context, const ActiveRequest& request)
        : m_context(context)
        , m_request(request)
    {
    }

    auto consider(Replica* replica) -> void
    {
        if (!replica || replica == m_best.replica)
            return;
        const auto cost = prefillCost(m_context.state, m_request, *replica);
        if (cost < m_best.cost)
            m_best = { replica, cost };
    }

    auto considerHolders(std::size_t matchedBlocks) -> void
    {
        BlockHolders holders {};
        const auto count = m_context.state.cache.replicasWithBlock(m_request.arrival.prefixBlocks.at(matchedBlocks - 1), holders);
        for (std::size_t index = 0; index < count; ++index) {
            auto* replica = findReplica(m_context.state, holders.at(index));
            if (replica && replica->indexed && !prefillObstacle(m_context, m_request, *replica))
                consider(replica);
        }
    }

    auto best() const -> Replica* { return m_best.replica; }

private:
    DecisionContext& m_context;
    const ActiveRequest& m_request;
    Choice m_best;
};

}

auto prefillCost(const ShardState& state, const ActiveRequest& request, const Replica& replica) -> Duration
{
    const auto id = replica.description.replica;
    const std::uint64_t own = request.arrival.promptTokens - expectedCachedTokens(state, request, id);
    const auto avoided = request.avoidedReplica == id ? avoidedReplicaCost : Duration::zero();
    return prefillTime(state, replica, std::uint64_t { replica.reserved.prefillTokens } + replica.peerPrefillTokens + own) + zoneCost(state, replica.description.zone) + avoided;
}

auto choosePrefill(DecisionContext& context, const ActiveRequest& request) -> Replica*
{
    const auto fits = [&](const Replica& replica) { return !prefillObstacle(context, request, replica); };
    const auto local = context.state.settings.localZone;
    Chooser chooser(context, request);
    const auto completion = [&](const Replica& replica) { return atSpeed(prefillLoad(replica) + request.arrival.promptTokens, replica); };
    chooser.consider(soonestInZone(context, PoolRole::Prefill, local, request, fits, completion));
    chooser.consider(leastLoadedElsewhere(context, PoolRole::Prefill, { local }, request, fits));
    chooser.consider(avoidedIfFits(context, PoolRole::Prefill, request, fits));
    const auto matchedBlocks = context.state.cache.matchedBlocks(request.arrival.prefixBlocks);
    if (matchedBlocks)
        chooser.considerHolders(matchedBlocks);
    // Replicas with the longest match may be busy. Half of the match is often shared by more replicas.
    if (matchedBlocks > 1)
        chooser.considerHolders(matchedBlocks / 2);
    return chooser.best();
}

auto expectedCachedTokens(const ShardState& state, const ActiveRequest& request, ReplicaId replica) -> std::uint32_t
{
    const auto blocks = static_cast<std::uint32_t>(state.cache.matchedBlocksOn(replica, request.arrival.prefixBlocks));
    return std::min(blocks * state.settings.prefixBlockTokens, request.arrival.promptTokens);
}

auto recordPrefillZone(DecisionContext& context, const Replica& replica) -> void
{
    const auto zone = replica.description.zone;
    if (zone == context.state.settings.localZone)
        context.state.remotePrefillZone.reset();
    else
        context.state.remotePrefillZone = zone;
}

}
