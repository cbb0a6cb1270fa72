#include "QueuedRequests.h"

#include "RequestLifecycle.h"
#include "RetryRules.h"

namespace jayhold {

auto pushToQueue(ShardState& state, const ActiveRequest& request) -> void
{
    state.queue.push(queueEntry(request), customerWeight(state, request));
    if (request.subQueue == SubQueue::Resume)
        state.retryWaits.add(request.arrival.request, retryWaitOf(state, request));
}

auto removeFromQueue(ShardState& state, const ActiveRequest& request) -> void
{
    state.queue.remove(queueEntry(request));
    state.retryWaits.remove(request.arrival.request);
}

auto recountRetryWaits(ShardState& state) -> void
{
    state.retryWaits.clear();
    for (const auto& [version, waiting] : state.queue.resumes()) {
        for (const auto& [order, id] : waiting)
            state.retryWaits.add(id, retryWaitOf(state, *findRequest(state, id)));
    }
}

auto waitingForCapacity(const ShardState& state) -> std::size_t
{
    return state.queue.size() - state.retryWaits.countAbove(state.retryBudget.remaining());
}

}
