#include "PrefillChoice.h"

#include "Estimates.h"
#include "Placement.h"

#include "ZoneSearch.h"

#include <algorithm>

namespace jayhold {

namespace {

/// A prefill elsewhere must end this much earlier. The links between zones are shared, and caches
/// fill up in one zone; the lower figure holds for the zone that work goes to already, so that
/// small differences in load don't move it to and fro.
constexpr Duration otherZoneCost = std::chrono::milliseconds(60);
constexpr Duration presentZoneCost = std::chrono::milliseconds(20);
/// The replica of a failed attempt is used only for want of another.
constexpr Duration avoidedCost = std::chrono::seconds(5);

auto zoneCost(const ShardState& state, ZoneId zone) -> Duration
{
    if (zone == state.settings.localZone)
        return Duration::zero();
    return state.remotePrefillZone == zone ? presentZoneCost : otherZoneCost;
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
        const auto cost = costOf(*replica);
        if (cost < m_best.cost)
            m_best = { replica, cost };
    }

    auto considerHolders(std::size_t matchedBlocks) -> void
    {
        BlockHolders holders {};
        const auto count = m_context.state.cache.replicasWithBlock(m_request.arrival.prefixBlocks.at(matchedBlocks - 1), holders);
        for (std::size_t index = 0; index < count; ++index) {
            auto* replica = findReplica(m_context.state, holders.at(index));
            if (replica && replica->indexed && prefillFits(m_context, m_request, *replica))
                consider(replica);
        }
    }

    auto best() const -> Replica* { return m_best.replica; }

private:
    auto costOf(const Replica& replica) const -> Duration
    {
        const auto& state = m_context.state;
        const auto id = replica.description.replica;
        const std::uint64_t own = m_request.arrival.promptTokens - expectedCachedTokens(state, m_request, id);
        const auto avoided = m_request.avoidedReplica == id ? avoidedCost : Duration::zero();
        return prefillTime(state, std::uint64_t { replica.reserved.prefillTokens } + replica.peerPrefillTokens + own) + zoneCost(state, replica.description.zone) + avoided;
    }

    DecisionContext& m_context;
    const ActiveRequest& m_request;
    Choice m_best;
};

}

auto choosePrefill(DecisionContext& context, const ActiveRequest& request) -> Replica*
{
    const auto fits = [&](const Replica& replica) { return prefillFits(context, request, replica); };
    const auto local = context.state.settings.localZone;
    Chooser chooser(context, request);
    chooser.consider(leastLoadedInZone(context, PoolRole::Prefill, local, request, fits));
    chooser.consider(leastLoadedElsewhere(context, PoolRole::Prefill, { local }, request, fits));
    chooser.consider(avoidedIfFits(context, PoolRole::Prefill, request, fits));
    const auto matchedBlocks = context.state.cache.matchedBlocks(request.arrival.prefixBlocks);
    if (matchedBlocks)
        chooser.considerHolders(matchedBlocks);
    // Those with the longest match may be busy; half of it is often shared by more replicas.
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
