#include "Admission.h"

namespace jayhold {

namespace {

auto queueIsFull(const ShardState& state, const ActiveRequest& request) -> bool
{
    const auto& limits = state.settings.customerQueueLimits;
    const auto customer = static_cast<std::size_t>(request.arrival.customer);
    return customer < limits.size() && state.queue.customerSize(request.flow.customer) >= limits[customer];
}

}

auto admissionRefusal(DecisionContext& context, const ActiveRequest& request) -> std::optional<RefusalReason>
{
    const auto& state = context.state;
    if (state.draining)
        return RefusalReason::Draining;
    if (!state.livePrefills || !state.liveDecodes)
        return RefusalReason::NoBackend;
    if (request.arrival.deadline <= context.now)
        return RefusalReason::DeadlineExceeded;
    if (queueIsFull(state, request))
        return RefusalReason::QueueFull;
    return std::nullopt;
}

}
