#include "ReplicaEvents.h"

#include "Ledger.h"
#include "ReplicaIndex.h"
#include "RequestLife.h"

#include <algorithm>

namespace jayhold {

namespace {

auto countLive(ShardState& state, const ReplicaChanged& description, int change) -> void
{
    if (description.state != ReplicaState::Live)
        return;
    auto& count = description.role == PoolRole::Prefill ? state.livePrefills : state.liveDecodes;
    count += change;
}

auto decodeGone(DecisionContext& context, ActiveRequest& request) -> void
{
    if (request.phase == RequestPhase::Starting || request.phase == RequestPhase::Decoding)
        stopDecode(context, request);
    else
        // The prefill goes on; another seat is chosen when its result is ready.
        releaseDecode(context, request);
}

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
            decodeGone(context, *request);
        else
            prefillGone(context, *request);
    }
}

auto removeReplica(DecisionContext& context, Replica& replica) -> void
{
    const auto id = replica.description.replica;
    updateIndex(context, replica);
    failOwners(context, id);
    context.state.timers.move(id, replica.timerAt, TimePoint::max());
    context.state.replicas.erase(id);
}

}

auto handle(DecisionContext& context, const ReplicaChanged& event) -> void
{
    auto& state = context.state;
    auto* known = findReplica(state, event.replica);
    if (!known && event.state == ReplicaState::Gone)
        return;
    if (!known) {
        known = &state.replicas[event.replica];
        known->description = event;
        countLive(state, event, 1);
        updateIndex(context, *known);
        return;
    }
    // The index is keyed by role and zone; the replica leaves it before they may change.
    countLive(state, known->description, -1);
    known->description.state = ReplicaState::Leaving;
    updateIndex(context, *known);
    known->description = event;
    countLive(state, event, 1);
    if (event.state == ReplicaState::Gone)
        removeReplica(context, *known);
    else
        updateIndex(context, *known);
}

auto handle(DecisionContext& context, const ReplicaLoad& event) -> void
{
    auto& state = context.state;
    auto* replica = findReplica(state, event.replica);
    if (!replica || event.sequence <= replica->reportSequence)
        return;
    replica->reportSequence = event.sequence;
    const auto own = replica->reserved.seats;
    const auto used = event.running + event.waiting;
    replica->othersSeats = state.settings.sharingInstances > 1 && used > own ? used - own : 0;
    for (const auto held : event.held) {
        if (!state.requests.contains(held))
            context.actions.emplace_back(CancelOnReplica { held, event.replica });
    }
    updateIndex(context, *replica);
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
    updateIndex(context, *replica);
}

}
