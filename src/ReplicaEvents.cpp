#include "ReplicaEvents.h"

#include "CrashAttribution.h"
#include "ReplicaHealth.h"
#include "ReplicaIndex.h"
#include "RequestLifecycle.h"
#include "ReservationAccounting.h"
#include "SpeedEstimates.h"

#include <algorithm>

namespace jayhold {

namespace {

auto handleDecodeCrash(DecisionContext& context, ActiveRequest& request, Replica& replica) -> void
{
    recordCrash(context, request, replica);
    stopDecode(context, request);
}

auto handlePrefillCrash(DecisionContext& context, ActiveRequest& request, Replica& replica) -> void
{
    if (request.phase == RequestPhase::Prefilling || request.phase == RequestPhase::Prefilled) {
        recordCrash(context, request, replica);
        retryOrRefuse(context, request, FailureKind::ConnectionLost);
    } else
        // The transfer may be complete. If it is not, the decode engine reports it.
        releasePrefill(context, request);
}

/// Fails the requests that ran on a replica that has crashed.
auto failRequests(DecisionContext& context, Replica& replica) -> void
{
    const auto id = replica.description.replica;
    const auto requests = replica.requests;
    for (const auto requestId : requests) {
        // The failure of one request can end others with the same crash signature.
        auto* request = findRequest(context.state, requestId);
        if (!request)
            continue;
        if (request->decode == id && !request->decodeReserved.empty())
            handleDecodeCrash(context, *request, replica);
        else if (request->prefill == id && !request->prefillReserved.empty())
            handlePrefillCrash(context, *request, replica);
    }
}

auto removeReplica(DecisionContext& context, Replica& replica) -> void
{
    const auto id = replica.description.replica;
    changeState(context, replica, ReplicaState::Gone);
    context.state.timers.move(id, replica.timerAt, TimePoint::max());
    context.state.cache.dropReplica(id);
    context.state.replicas.erase(id);
}

/// A replica that went without leaving first has crashed. One that has left may still complete what it runs, and
/// its connections show when it ends.
auto handleGone(DecisionContext& context, Replica& replica) -> void
{
    const auto crashed = replica.description.state == ReplicaState::Live;
    changeState(context, replica, ReplicaState::Gone);
    if (crashed)
        failRequests(context, replica);
    context.state.endingReplicas[replica.description.replica] = std::nullopt;
}

auto updateReplica(DecisionContext& context, const ReplicaChanged& event) -> void
{
    const auto [entry, isNew] = context.state.replicas.try_emplace(event.replica);
    auto& replica = entry->second;
    if (isNew)
        replica.description.state = ReplicaState::Gone;
    else
        // The index is keyed by zone, so the replica is removed before its zone may change.
        removeFromIndex(context, replica);
    const auto previousState = replica.description.state;
    // Another process under the same id may be of another speed.
    if (!isNew && replica.description.process != event.process)
        forgetSpeed(replica);
    replica.description = event;
    replica.description.state = previousState;
    changeState(context, replica, event.state);
}

/// Replaces a replica by the same process in its new role. The pause and the limit that it has named still hold.
auto moveToNewRole(DecisionContext& context, Replica& replica, const ReplicaChanged& event) -> void
{
    const auto allowance = replica.allowance;
    const auto pausedUntil = replica.pausedUntil;
    const auto pauseAskedUntil = replica.pauseAskedUntil;
    const auto isReturning = replica.isReturning;
    removeReplica(context, replica);
    updateReplica(context, event);
    auto& moved = context.state.replicas.at(event.replica);
    moved.allowance = allowance;
    moved.pausedUntil = pausedUntil;
    moved.pauseAskedUntil = pauseAskedUntil;
    moved.isReturning = isReturning;
    updateIndex(context, moved);
}

}

auto handle(DecisionContext& context, const ReplicaChanged& event) -> void
{
    auto& ending = context.state.endingReplicas;
    auto* replica = findReplica(context.state, event.replica);
    if (event.state == ReplicaState::Gone) {
        if (replica)
            handleGone(context, *replica);
    } else if (replica && replica->role() != event.role) {
        changeState(context, *replica, ReplicaState::Leaving);
        ending[event.replica] = event;
    } else {
        ending.erase(event.replica);
        updateReplica(context, event);
    }
}

auto removeEndedReplicas(DecisionContext& context) -> void
{
    auto& ending = context.state.endingReplicas;
    for (auto entry = ending.begin(); entry != ending.end();) {
        auto* replica = findReplica(context.state, entry->first);
        if (replica && !replica->requests.empty()) {
            ++entry;
            continue;
        }
        const auto next = entry->second;
        entry = ending.erase(entry);
        if (replica && next)
            moveToNewRole(context, *replica, *next);
        else if (replica)
            removeReplica(context, *replica);
    }
}

auto handle(DecisionContext& context, const ReplicaLimited& event) -> void
{
    auto* replica = findReplica(context.state, event.replica);
    if (!replica)
        return;
    if (!event.rate)
        replica->allowance.reset();
    else if (replica->allowance)
        replica->allowance->updateRate(*event.rate, context.now);
    else
        replica->allowance.emplace(*event.rate, context.now);
    updateIndex(context, *replica);
}

auto handle(DecisionContext& context, const ReplicaSpeedReported& event) -> void
{
    auto* replica = findReplica(context.state, event.replica);
    if (!replica || event.work != workOf(*replica))
        return;
    addHeardReplicaSpeed(context, *replica, event.speed);
}

auto handle(DecisionContext& context, const CacheEvents& event) -> void
{
    if (findReplica(context.state, event.replica))
        context.state.cache.apply(event);
}

auto handleReplicaTimer(DecisionContext& context, ReplicaId id) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    replica->timerAt = TimePoint::max();
    // Without recent reports the engine counts as unused by peers. If it is full after all, it rejects
    // work without running it.
    if (replica->slotAllowance && replica->slotAllowanceUntil <= context.now) {
        replica->slotAllowance.reset();
        replica->peerSlots = 0;
        replica->peerMemoryBlocks = 0;
    }
    updateIndex(context, *replica);
}

}
