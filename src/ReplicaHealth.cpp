#include "ReplicaHealth.h"

#include "ReplicaIndex.h"
#include "ReservationAccounting.h"

#include <algorithm>

namespace jayhold {

namespace {

/// About one report interval of an engine; until then a full engine is likely to be still full.
constexpr Duration busyPause = std::chrono::milliseconds(50);
/// Up to 200 ms, in which a decode engine of ten requests of three seconds frees room for another.
constexpr std::uint32_t longestBusyDoublings = 2;
constexpr Duration unreachablePause = std::chrono::milliseconds(50);
constexpr Duration firstEjection = std::chrono::seconds(1);
constexpr std::uint32_t longestEjectionDoublings = 5;

auto countFailure(DecisionContext& context, Replica& replica) -> void
{
    // All requests of an engine that dies fail at once; that is one reason to eject it, not many.
    if (replica.ejectedUntil > context.now)
        return;
    if (++replica.consecutiveFailures < failuresBeforeEjection)
        return;
    const auto doublings = std::min(replica.consecutiveFailures - failuresBeforeEjection, longestEjectionDoublings);
    replica.ejectedUntil = context.now + firstEjection * (1U << doublings);
}

}

auto changeState(DecisionContext& context, Replica& replica, ReplicaState state) -> void
{
    auto& live = replica.role() == PoolRole::Prefill ? context.state.prefillCapacities : context.state.decodeCapacities;
    if (replica.countedCapacity) {
        live.erase(live.find(*replica.countedCapacity));
        replica.countedCapacity.reset();
    }
    if (state == ReplicaState::Live)
        replica.countedCapacity = *live.insert(tokenCapacity(replica));
    replica.description.state = state;
    updateIndex(context, replica);
    if (state == ReplicaState::Live || replica.role() == PoolRole::Prefill)
        return;
    const auto owners = replica.owners;
    for (const auto owner : owners) {
        auto& request = *findRequest(context.state, owner);
        if (request.phase != RequestPhase::Prefilling)
            continue;
        releaseDecode(context, request);
        context.state.prefillsWithoutSlot.emplace(request.phaseStartedAt, owner);
    }
}

auto recordSuccess(DecisionContext& context, ReplicaId id) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    replica->consecutiveRejections = 0;
    if (!replica->consecutiveFailures)
        return;
    replica->consecutiveFailures = 0;
    replica->ejectedUntil = context.now;
    updateIndex(context, *replica);
}

auto recordFailure(DecisionContext& context, ReplicaId id, FailureKind failure) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    switch (failure) {
    case FailureKind::Busy:
        // An engine that changes its role, or that others fill, turns work away for longer.
        replica->busyUntil = context.now + busyPause * (1U << std::min(replica->consecutiveRejections++, longestBusyDoublings));
        replica->lastRejectedAt = context.now;
        if (replica->slotAllowance)
            replica->slotAllowance = 0;
        break;
    case FailureKind::Leaving:
        changeState(context, *replica, ReplicaState::Leaving);
        break;
    case FailureKind::KvExpired:
        break;
    case FailureKind::NotConnected:
        // A process that takes no connection fails every request within microseconds; a request
        // that alternates between two such replicas would use up its attempts at once.
        replica->busyUntil = context.now + unreachablePause;
        countFailure(context, *replica);
        break;
    case FailureKind::ConnectionLost:
    case FailureKind::TimedOut:
    case FailureKind::ServerError:
        countFailure(context, *replica);
        break;
    }
    updateIndex(context, *replica);
}

}
