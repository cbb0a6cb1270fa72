#include "SilentAttempts.h"

#include "Dispatch.h"
#include "Placement.h"
#include "ReplicaHealth.h"
#include "RequestLifecycle.h"
#include "RetryRules.h"
#include "VersionBinding.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

auto silentReplica(const ActiveRequest& request) -> const OptionalReplica&
{
    return request.phase == RequestPhase::Prefilling ? request.prefill : request.decode;
}

/// @return whether other interrupted requests wait for capacity that the request could take; they start first. Those that
/// must run at another software version wait for other engines.
auto hasWaitingResumes(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return std::ranges::any_of(oldestResumes(context), [&](RequestId id) {
        const auto& version = findRequest(context.state, id)->boundVersion;
        return !version || version == request.boundVersion || !hasSeveralVersions(context.state);
    });
}

/// @return whether another attempt would start now, on engines other than the silent one.
auto hasOtherPlacement(DecisionContext& context, ActiveRequest& request) -> bool
{
    const auto silent = silentReplica(request);
    const auto avoided = std::exchange(request.avoidedReplica, silent);
    const auto subQueue = std::exchange(request.subQueue, SubQueue::Resume);
    const auto placement = choosePlacement(context, request, 0);
    request.avoidedReplica = avoided;
    request.subQueue = subQueue;
    if (!placement || !placement->slotFree)
        return false;
    // Without a retry for the prefill, the decode replica prefills itself, if it may.
    const std::uint32_t retries = placement->prefill && !context.state.settings.decodeMayPrefill ? 2 : 1;
    if (context.state.retryBudget.remaining() < retries)
        return false;
    const auto isSilent = [&](const Replica* replica) { return replica && replica->description.replica == *silent; };
    return !isSilent(placement->prefill) && !isSilent(placement->decode);
}

}

auto replaceSilentAttempt(DecisionContext& context, ActiveRequest& request) -> bool
{
    const auto isPrefilling = request.phase == RequestPhase::Prefilling;
    if (!allowsRetryOfRunning(context.state, request, !isPrefilling) || hasWaitingResumes(context, request) || !hasOtherPlacement(context, request))
        return false;
    // Dispatch starts interrupted requests first, so no waiting request takes the room.
    request.subQueue = SubQueue::Resume;
    cancelAttempt(context, request);
    retryOrRefuse(context, request, FailureKind::TimedOut);
    return true;
}

}
