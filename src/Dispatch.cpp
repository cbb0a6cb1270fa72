#include "Dispatch.h"

#include "Placement.h"
#include "RequestLife.h"

namespace jayhold {

namespace {

/// Flows of a class that are tried when the first does not fit.
constexpr std::size_t triedFlows = 2;

auto tryStart(DecisionContext& context, RequestId id) -> bool
{
    auto* request = findRequest(context.state, id);
    const auto placement = choosePlacement(context, *request);
    if (!placement)
        return false;
    startPrefill(context, *request, *placement->prefill, *placement->decode);
    return true;
}

auto startOne(DecisionContext& context) -> bool
{
    const auto& queue = context.state.queue;
    for (const auto latencyClass : { LatencyClass::Interactive, LatencyClass::Standard, LatencyClass::Batch }) {
        for (const auto id : queue.heads(latencyClass, triedFlows)) {
            if (tryStart(context, id))
                return true;
        }
    }
    const auto late = queue.oldestLate();
    return late && tryStart(context, *late);
}

auto startReady(DecisionContext& context) -> void
{
    auto& ready = context.state.ready;
    while (!ready.empty()) {
        if (!startDecode(context, *findRequest(context.state, ready.begin()->second)))
            return;
    }
}

}

auto dispatch(DecisionContext& context) -> void
{
    startReady(context);
    while (context.state.queue.size() && startOne(context)) { }
}

}
