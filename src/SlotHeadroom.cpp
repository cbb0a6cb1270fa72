#include "SlotHeadroom.h"

#include "Estimates.h"
#include "RequestRanks.h"
#include "ReservationAccounting.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jayhold {

namespace {

/// In standard deviations: the number of slots in use varies by about its square root.
constexpr double headroomDeviations = 1.0;
/// Overdue work no longer counts for goodput, but occupies its slot as long as work that does.
constexpr double overdueHeadroomDeviations = 3.0;
/// Fraction of all decode slots. The limit keeps a pool of few slots from shutting out less urgent
/// work.
constexpr double maxHeadroomFraction = 0.4;

auto seconds(Duration duration) -> double
{
    return static_cast<double>(duration.count()) / 1e6;
}

/// Whether the request leaves room for overdue and new requests of its own rank too. Where less urgent requests make room for
/// it, it need not.
auto leavesRoomToOwnRank(const ShardState& state, const ActiveRequest& request) -> bool
{
    return request.subQueue == SubQueue::Overdue && !hasLessUrgentRank(state, request);
}

/// Only batch work and work before which other ranks go leave more headroom while the most urgent work is late.
/// Batch slots are occupied for longest, and standard work of the same rank has a first-token target of its own.
auto headroomDeviationsFor(const ShardState& state, const ActiveRequest& request) -> double
{
    if (leavesRoomToOwnRank(state, request))
        return overdueHeadroomDeviations;
    const auto isScaled = request.latencyClass == LatencyClass::Batch || hasMoreUrgentRank(state, request);
    return isScaled ? headroomDeviations * state.headroomScale.value() : headroomDeviations;
}

/// @return a number from 0 to 1 that is the same at all instances.
auto fractionOf(ReplicaId replica) -> double
{
    constexpr std::uint32_t multiplier = 0x9E37'79B9;
    return static_cast<double>((static_cast<std::uint32_t>(replica) + 1) * multiplier) / 4'294'967'296.0;
}

}

auto recordOfferedLoad(DecisionContext& context, const ActiveRequest& request) -> void
{
    auto& state = context.state;
    const auto decode = expectedTokens(state, request) / state.rates.tokensPerSecond.value();
    const auto prefill = prefillTime(state, request.arrival.promptTokens) + transferTime(state, request);
    state.offeredLoad.arrived(request.rank, request.latencyClass, context.now, decode + seconds(prefill), static_cast<double>(reservedTokens(state, request)));
}

auto requiredSlotHeadroom(const DecisionContext& context, const ActiveRequest& request) -> std::int64_t
{
    const auto& state = context.state;
    if (request.subQueue == SubQueue::Resume)
        return 0;
    // Overdue work leaves slots for all classes, its own included.
    auto moreUrgentClasses = static_cast<int>(request.latencyClass);
    if (request.subQueue == SubQueue::Overdue)
        moreUrgentClasses = leavesRoomToOwnRank(state, request) ? 3 : 0;
    auto offered = hasSeveralRanks(state) ? state.offeredLoad.upTo(request.rank, false, context.now).slots : 0;
    for (int moreUrgent = 0; moreUrgent < moreUrgentClasses; ++moreUrgent)
        offered += state.offeredLoad.slots(request.rank, static_cast<LatencyClass>(moreUrgent), context.now);
    const auto wanted = headroomDeviationsFor(state, request) * std::sqrt(offered * assumedInstances(state.settings));
    const auto maxHeadroom = maxHeadroomFraction * static_cast<double>(state.decodeSlots);
    return static_cast<std::int64_t>(std::min(wanted, maxHeadroom));
}

auto memoryForMoreUrgent(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::uint64_t
{
    const auto& state = context.state;
    // The prefill of a request that is no longer queued would be wasted.
    if (request.isDue || !hasMoreUrgentRank(state, request) || request.subQueue == SubQueue::Resume || request.phase != RequestPhase::Queued || state.decodeCapacities.empty())
        return 0;
    const auto demand = state.offeredLoad.upTo(request.rank, false, context.now);
    if (demand.requestTokens <= 0)
        return 0;
    const auto replicas = static_cast<double>(state.decodeCapacities.size());
    const auto wanted = headroomDeviations * state.headroomScale.value() * std::sqrt(demand.slots * assumedInstances(state.settings));
    const auto maxRequests = maxHeadroomFraction * static_cast<double>(tokenCapacity(replica)) / demand.requestTokens;
    // A large request needs its memory in one piece, so some replicas leave room for one more than others. All instances
    // choose the same ones.
    const auto perReplica = std::min(wanted / replicas, maxRequests);
    const auto requests = std::floor(perReplica) + (fractionOf(replica.description.replica) < perReplica - std::floor(perReplica) ? 1 : 0);
    return static_cast<std::uint64_t>(std::ceil(requests * demand.requestTokens));
}

auto fitsWithMoreUrgent(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    const auto& state = context.state;
    const auto demand = state.offeredLoad.upTo(request.rank, true, context.now);
    const auto instances = static_cast<double>(assumedInstances(state.settings));
    const auto tokens = std::accumulate(state.decodeCapacities.begin(), state.decodeCapacities.end(), 0.0);
    return demand.slots * instances <= static_cast<double>(state.decodeSlots) && demand.tokens * instances <= tokens;
}

}
