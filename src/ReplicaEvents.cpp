#include "ReplicaEvents.h"

#include "CrashAttribution.h"
#include "ReplicaHealth.h"
#include "ReplicaIndex.h"
#include "RequestLifecycle.h"
#include "ReservationAccounting.h"

#include <algorithm>

namespace jayhold {

namespace {

auto decodeGone(DecisionContext& context, ActiveRequest& request, Replica& replica, bool crashed) -> void
{
    if (crashed)
        recordCrash(context, request, replica);
    stopDecode(context, request);
}

auto prefillGone(DecisionContext& context, ActiveRequest& request, bool crashed) -> void
{
    if (request.phase == RequestPhase::Prefilling || request.phase == RequestPhase::Prefilled)
        retryOrRefuse(context, request, crashed ? FailureKind::ConnectionLost : FailureKind::TimedOut);
    else
        // The transfer may be complete; if it is not, the decode engine reports it.
        releasePrefill(context, request);
}

/// What ran on a replica that is gone has failed. One that went without leaving first has crashed.
auto failOwners(DecisionContext& context, Replica& replica, bool crashed) -> void
{
    const auto id = replica.description.replica;
    const auto owners = replica.owners;
    for (const auto owner : owners) {
        // The failure of one owner can end others that have the same signature.
        auto* request = findRequest(context.state, owner);
        if (!request)
            continue;
        if (request->decode == id && !request->decodeReserved.empty())
            decodeGone(context, *request, replica, crashed);
        else if (request->prefill == id && !request->prefillReserved.empty())
            prefillGone(context, *request, crashed);
    }
}

auto removeReplica(DecisionContext& context, Replica& replica, bool crashed) -> void
{
    const auto id = replica.description.replica;
    failOwners(context, replica, crashed);
    context.state.timers.move(id, replica.timerAt, TimePoint::max());
    context.state.cache.dropReplica(id);
    context.state.replicas.erase(id);
}

}

auto handle(DecisionContext& context, const ReplicaChanged& event) -> void
{
    auto* known = findReplica(context.state, event.replica);
    if (known && known->role() != event.role) {
        // What it ran in its former role has ended with it.
        changeState(context, *known, ReplicaState::Gone);
        removeReplica(context, *known, false);
        known = nullptr;
    }
    if (!known && event.state == ReplicaState::Gone)
        return;
    if (!known) {
        known = &context.state.replicas[event.replica];
        known->description = event;
        known->description.state = ReplicaState::Gone;
    }
    // The index is keyed by zone; the replica leaves it before the zone may change.
    removeFromIndex(context, *known);
    const auto before = known->description.state;
    known->description = event;
    known->description.state = before;
    changeState(context, *known, event.state);
    if (event.state == ReplicaState::Gone)
        removeReplica(context, *known, before == ReplicaState::Live);
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
    // An engine that is full after all turns work away unrun.
    if (replica->slotAllowance && replica->slotAllowanceUntil <= context.now) {
        replica->slotAllowance.reset();
        replica->peerSlots = 0;
        replica->peerMemoryBlocks = 0;
    }
    updateIndex(context, *replica);
}

}
