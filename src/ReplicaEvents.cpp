#include "ReplicaEvents.h"

#include "Ledger.h"
#include "ReplicaHealth.h"
#include "ReplicaIndex.h"
#include "RequestLife.h"

#include <algorithm>

namespace jayhold {

namespace {

auto prefillGone(DecisionContext& context, ActiveRequest& request) -> void
{
    if (request.phase == RequestPhase::Prefilling || request.phase == RequestPhase::Ready)
        attemptFailed(context, request, FailureKind::ConnectionLost);
    else
        // The transfer may be complete; if it is not, the decode engine reports it.
        releasePrefill(context, request);
}

/// What ran on a replica that is gone has failed.
auto failOwners(DecisionContext& context, ReplicaId id) -> void
{
    const auto owners = findReplica(context.state, id)->owners;
    for (const auto owner : owners) {
        auto* request = findRequest(context.state, owner);
        if (request->decode == id && !request->decodeHold.empty())
            stopDecode(context, *request);
        else
            prefillGone(context, *request);
    }
}

auto removeReplica(DecisionContext& context, Replica& replica) -> void
{
    const auto id = replica.description.replica;
    failOwners(context, id);
    context.state.timers.move(id, replica.timerAt, TimePoint::max());
    context.state.replicas.erase(id);
}

}

auto handle(DecisionContext& context, const ReplicaChanged& event) -> void
{
    auto* known = findReplica(context.state, event.replica);
    if (known && known->role() != event.role) {
        // What it ran in its former role has ended with it.
        changeState(context, *known, ReplicaState::Gone);
        removeReplica(context, *known);
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
        removeReplica(context, *known);
}

auto handle(DecisionContext&, const CacheEvents&) -> void
{
}

auto replicaTimerDue(DecisionContext& context, ReplicaId id) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    replica->timerAt = TimePoint::max();
    // An engine that is full after all turns work away unrun.
    if (replica->seatAllowance && replica->allowanceUntil <= context.now) {
        replica->seatAllowance.reset();
        replica->othersSeats = 0;
        replica->othersPieces = 0;
    }
    updateIndex(context, *replica);
}

}
