#include "ReplicaPauses.h"

#include "ReplicaHealth.h"
#include "ReplicaIndex.h"
#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

namespace {

auto roleOpensAt(const std::multiset<TimePoint>& pauses, const std::multiset<std::uint64_t>& live, TimePoint now) -> TimePoint
{
    const auto isOpen = pauses.empty() || pauses.size() < live.size();
    return isOpen ? now : std::max(*pauses.begin(), now);
}

}

auto handle(DecisionContext& context, const ReplicaPaused& event) -> void
{
    auto* replica = findReplica(context.state, event.replica);
    // Pauses are only extended. An event that was sent before, as after each change of the list of servers, must not
    // undo what has happened since.
    if (!replica || (event.until <= replica->pausedUntil && event.askedUntil <= replica->pauseAskedUntil))
        return;
    replica->pausedUntil = std::max(replica->pausedUntil, event.until);
    replica->pauseAskedUntil = std::max(replica->pauseAskedUntil, event.askedUntil);
    replica->isReturning = true;
    // A request that was on its way does not count as the first after the pause.
    replica->firstAfterPause.reset();
    updateIndex(context, *replica);
    releaseSlotsOfPrefills(context, *replica);
    const auto hasWaiting = context.state.queue.size() > 0 || !context.state.prefilled.empty();
    if (!hasWaiting || pausesEndAt(context.state, context.now) <= context.now)
        return;
    // Requests that can't wait until the end of the pause are refused by their timers.
    for (auto& [id, request] : context.state.requests) {
        if (request.phase == RequestPhase::Queued || request.phase == RequestPhase::Prefilled)
            setTimer(context, request);
    }
}

auto isPausedOrReturning(const Replica& replica, TimePoint now) -> bool
{
    return replica.pausedUntil > now || (replica.isReturning && replica.firstAfterPause);
}

auto recordFirstAfterPause(Replica& replica, RequestId request) -> void
{
    if (replica.isReturning && !replica.firstAfterPause)
        replica.firstAfterPause = request;
}

auto recordReturn(DecisionContext& context, Replica& replica, RequestId request) -> void
{
    if (!replica.isReturning || replica.firstAfterPause != request)
        return;
    replica.isReturning = false;
    replica.firstAfterPause.reset();
    context.actions.emplace_back(ReplicaReturned { replica.description.replica });
    updateIndex(context, replica);
}

auto forgetFirstAfterPause(Replica& replica, RequestId request, TimePoint now) -> void
{
    if (replica.firstAfterPause != request)
        return;
    replica.firstAfterPause.reset();
    // The time that the replica has asked for is not over, so it gets no second request.
    if (now < replica.pauseAskedUntil)
        replica.pausedUntil = std::max(replica.pausedUntil, replica.pauseAskedUntil);
}

auto pausesEndAt(const ShardState& state, TimePoint now) -> TimePoint
{
    const auto decode = roleOpensAt(state.decodePauses, state.decodeCapacities, now);
    return state.settings.decodeMayPrefill ? decode : std::max(decode, roleOpensAt(state.prefillPauses, state.prefillCapacities, now));
}

}
