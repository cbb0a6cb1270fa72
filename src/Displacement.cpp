#include "Displacement.h"

#include "Deadlines.h"
#include "QueuedRequests.h"
#include "RequestLifecycle.h"
#include "RequestRanks.h"

#include <algorithm>
#include <vector>

namespace jayhold {

namespace {

/// @return the expected wait of a request that is in the queue, without the time for its own start.
auto remainingWait(const DecisionContext& context, const ActiveRequest& request) -> Duration
{
    const auto wait = request.subQueue == SubQueue::Overdue ? expectedOverdueWait(context, request) : expectedWait(context, request);
    return std::max(wait - context.state.startInterval.interval(context.now), Duration::zero());
}

/// @return the request whose refusal costs least among the newest ones for which the predicate holds.
template <typename Predicate>
auto cheapest(const DecisionContext& context, RequestRank rank, Predicate predicate) -> ActiveRequest*
{
    std::vector<ActiveRequest*> candidates;
    std::vector<CallerCost> costs;
    for (const auto id : context.state.queue.newest(rank)) {
        auto* request = findRequest(context.state, id);
        if (!predicate(*request))
            continue;
        candidates.push_back(request);
        costs.push_back(callerCost(context, *request));
    }
    const auto index = cheapestRefusal(costs);
    return index < candidates.size() ? candidates[index] : nullptr;
}

}

auto displaceWaiting(DecisionContext& context, RequestRank arrived) -> void
{
    const auto cannotBeServed = [&](const ActiveRequest& request) { return waitsTooLong(context, request, remainingWait(context, request)); };
    while (auto* request = cheapest(context, arrived, cannotBeServed))
        refuse(context, *request, overloadReason(context.state, *request));
    // A wrong estimate costs the request its place, so the wait must exceed the time clearly.
    const auto becomesOverdue = [&](const ActiveRequest& request) { return request.subQueue == SubQueue::Fair && willMissTarget(context, request, remainingWait(context, request) * 2 / 3); };
    while (auto* request = cheapest(context, arrived, becomesOverdue)) {
        removeFromQueue(context.state, *request);
        moveToOverdue(context, *request);
        pushToQueue(context.state, *request);
        setTimer(context, *request);
    }
}

}
