#include "ReplicaHealth.h"

#include "ReplicaIndex.h"
#include "ReplicaPauses.h"
#include "ReservationAccounting.h"
#include "UndecidedCrashes.h"
#include "VersionBinding.h"

#include <algorithm>

namespace jayhold {

namespace {

/// About one report interval of an engine. An engine that is full is likely to stay full for that long.
constexpr Duration busyBackOff = std::chrono::milliseconds(50);
/// Limits the back-off to 200 ms. In that time a decode engine that runs ten requests of three seconds
/// each frees room for another.
constexpr std::uint32_t maxBusyDoublings = 2;
constexpr Duration unreachableBackOff = std::chrono::milliseconds(50);
constexpr Duration firstEjection = std::chrono::seconds(1);
constexpr std::uint32_t maxEjectionDoublings = 5;
/// Time for which an interrupted stream stays away from a replica that nothing else has reached since it lost a connection.
/// Callers give up a stream after a gap of two seconds or more.
constexpr Duration unreachedTime = std::chrono::milliseconds(500);
/// Events that were sent before a connection was lost may arrive up to this long after it.
constexpr Duration maxEventDelay = std::chrono::milliseconds(20);

auto countFailure(DecisionContext& context, Replica& replica) -> void
{
    // When an engine dies, all its requests fail at once. Failures during an ejection do not extend it.
    if (replica.ejectedUntil > context.now)
        return;
    if (++replica.consecutiveFailures < failuresBeforeEjection)
        return;
    const auto doublings = std::min(replica.consecutiveFailures - failuresBeforeEjection, maxEjectionDoublings);
    replica.ejectedUntil = context.now + firstEjection * (1U << doublings);
}

auto recordDisconnected(Replica& replica, TimePoint now) -> void
{
    replica.disconnectedAt = now;
    replica.reachedAt.reset();
}

}

auto processKnownAt(const Replica& replica) -> TimePoint
{
    if (!replica.disconnectedAt)
        return TimePoint::min();
    const auto unreachedEnd = *replica.disconnectedAt + unreachedTime;
    return replica.reachedAt ? *replica.reachedAt + entryArrivalTime : unreachedEnd;
}

auto recordReached(DecisionContext& context, ReplicaId id) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    recordAnswerAfterLoss(context, *replica);
    if (!replica->disconnectedAt || replica->reachedAt)
        return;
    replica->reachedAt = context.now;
    updateIndex(context, *replica);
}

auto recordSameProcess(DecisionContext& context, ReplicaId id, TimePoint givenAt) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica || !replica->disconnectedAt || givenAt >= *replica->disconnectedAt || context.now - *replica->disconnectedAt < maxEventDelay)
        return;
    replica->disconnectedAt.reset();
    replica->reachedAt.reset();
    updateIndex(context, *replica);
}

auto changeState(DecisionContext& context, Replica& replica, ReplicaState state) -> void
{
    auto& capacities = replica.role() == PoolRole::Prefill ? context.state.prefillCapacities : context.state.decodeCapacities;
    if (replica.countedCapacity) {
        capacities.erase(capacities.find(*replica.countedCapacity));
        replica.countedCapacity.reset();
    }
    if (state == ReplicaState::Live)
        replica.countedCapacity = *capacities.insert(tokenCapacity(replica));
    replica.description.state = state;
    countVersion(context, replica);
    updateIndex(context, replica);
    if (state != ReplicaState::Live)
        releaseSlotsOfPrefills(context, replica);
}

auto releaseSlotsOfPrefills(DecisionContext& context, Replica& replica) -> void
{
    if (replica.role() == PoolRole::Prefill)
        return;
    const auto requests = replica.requests;
    for (const auto requestId : requests) {
        auto& request = *findRequest(context.state, requestId);
        if (request.phase != RequestPhase::Prefilling || request.decode != replica.description.replica)
            continue;
        releaseDecode(context, request);
        context.state.prefillsWithoutSlot.emplace(request.phaseStartedAt, requestId);
    }
}

auto recordSuccess(DecisionContext& context, ReplicaId id, RequestId request) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    recordReturn(context, *replica, request);
    recordReached(context, id);
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
        // An engine that is changing its role, or is full with requests of other instances, rejects work for
        // longer.
        replica->busyUntil = context.now + busyBackOff * (1U << std::min(replica->consecutiveRejections++, maxBusyDoublings));
        replica->lastRejectedAt = context.now;
        if (replica->slotAllowance)
            replica->slotAllowance = 0;
        break;
    case FailureKind::Leaving:
        changeState(context, *replica, ReplicaState::Leaving);
        break;
    case FailureKind::KvExpired:
    case FailureKind::Paused:
    case FailureKind::OtherVersion:
        break;
    case FailureKind::NotConnected:
        // A process that accepts no connection fails every request within microseconds. A request that
        // alternates between two such replicas would use up its attempts at once.
        replica->busyUntil = context.now + unreachableBackOff;
        recordDisconnected(*replica, context.now);
        countFailure(context, *replica);
        break;
    case FailureKind::ConnectionLost:
        recordDisconnected(*replica, context.now);
        countFailure(context, *replica);
        break;
    case FailureKind::TimedOut:
    case FailureKind::ServerError:
        countFailure(context, *replica);
        break;
    }
    updateIndex(context, *replica);
}

}
