#include "Displacement.h"

#include "Admission.h"
#include "Deadlines.h"
#include "QueuedRequests.h"
#include "RequestLifecycle.h"
#include "RequestRanks.h"

#include <algorithm>
#include <optional>
#include <span>
#include <vector>

namespace jayhold {

namespace {

/// @return the expected wait of a request that is in the queue, without the time for its own start.
auto remainingWait(const DecisionContext& context, const ActiveRequest& request) -> Duration
{
    const auto wait = request.subQueue == SubQueue::Overdue ? expectedOverdueWait(context, request) : expectedWait(context, request);
    return std::max(wait - context.state.startInterval.interval(context.now), Duration::zero());
}

/// @return the request whose refusal costs least among those for which the predicate holds; null if there is none.
template <typename Predicate>
auto cheapest(const DecisionContext& context, std::span<const RequestId> waiting, Predicate predicate) -> ActiveRequest*
{
    std::vector<ActiveRequest*> candidates;
    std::vector<CallerCost> costs;
    for (const auto id : waiting) {
        auto* request = findRequest(context.state, id);
        if (!predicate(*request))
            continue;
        candidates.push_back(request);
        costs.push_back(callerCost(context, *request));
    }
    const auto index = cheapestRefusal(costs);
    return index < candidates.size() ? candidates[index] : nullptr;
}

/// Refuses a request after an arrival.
/// @param arrived cost of the request that has arrived, which may be the same one.
auto refuseAfter(DecisionContext& context, const CallerCost& arrived, ActiveRequest& request, RefusalReason reason) -> void
{
    const auto isDisplaced = callerCost(context, request) < arrived;
    refuse(context, request, reason, isDisplaced ? std::optional(arrived.rank) : std::nullopt);
}

/// Refuses one request of the customer if more of them wait than its limit allows. Interrupted streams are not refused for
/// others. One request for each arrival keeps the queue from growing, and a lower limit refuses no others that wait.
auto limitQueueOfCustomer(DecisionContext& context, const CallerCost& cost, ActiveRequest& arrived) -> void
{
    const auto& waiting = context.state.queue.customerRequests(arrived.arrival.customer);
    if (!isQueueOverLimit(context.state, arrived.arrival.customer, waiting.size()))
        return;
    std::vector<RequestId> ids;
    ids.reserve(waiting.size());
    for (const auto& [order, id] : waiting)
        ids.push_back(id);
    auto* request = cheapest(context, ids, [](const ActiveRequest& candidate) { return candidate.subQueue != SubQueue::Resume; });
    refuseAfter(context, cost, request ? *request : arrived, RefusalReason::QueueFull);
}

}

auto displaceWaiting(DecisionContext& context, ActiveRequest& arrived) -> void
{
    const auto id = arrived.arrival.request;
    const auto cost = callerCost(context, arrived);
    limitQueueOfCustomer(context, cost, arrived);
    if (!findRequest(context.state, id))
        return;
    const auto& queue = context.state.queue;
    const auto cannotBeServed = [&](const ActiveRequest& request) { return waitsTooLong(context, request, remainingWait(context, request)); };
    while (auto* request = cheapest(context, queue.newest(cost.rank), cannotBeServed))
        refuseAfter(context, cost, *request, overloadReason(context.state, *request));
    // A wrong estimate costs the request its place, so the wait must exceed the time clearly.
    const auto becomesOverdue = [&](const ActiveRequest& request) { return request.subQueue == SubQueue::Fair && willMissTarget(context, request, remainingWait(context, request) * 2 / 3); };
    while (auto* request = cheapest(context, queue.newest(cost.rank), becomesOverdue)) {
        removeFromQueue(context.state, *request);
        moveToOverdue(context, *request);
        pushToQueue(context.state, *request);
        setTimer(context, *request);
    }
}

}
