#include "Dispatch.h"

#include "Placement.h"
#include "RequestLife.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Flows of a class that are tried when the first does not fit.
constexpr std::size_t triedFlows = 2;
/// An aged request gets one start in this many, so that its wait is bounded and urgent work still
/// gets nearly all.
constexpr std::uint32_t startsPerAgedTurn = 8;
/// A request is aged after this part of its deadline, which leaves most of it for the service.
constexpr int agedPartOfDeadline = 8;

auto hasInteractiveKind(const ShardState& state) -> bool
{
    return std::ranges::find(state.settings.kinds, LatencyClass::Interactive, &RequestKind::latencyClass) != state.settings.kinds.end();
}

auto leavesHeadroom(const ShardState& state, LatencyClass latencyClass) -> bool
{
    return state.headroom.allows(state.decodeSeats, latencyClass) || !hasInteractiveKind(state);
}

auto tryStart(DecisionContext& context, RequestId id) -> bool
{
    auto* request = findRequest(context.state, id);
    const auto placement = choosePlacement(context, *request);
    if (!placement)
        return false;
    auto& state = context.state;
    const auto late = request->lane == QueueLane::Late;
    startPrefill(context, *request, *placement);
    ++state.startsSinceAged;
    state.pace.started(context.now, state.queue.size() > 0);
    if (late)
        state.latePace.started(context.now, state.queue.lateSize() > 0);
    return true;
}

auto tryStart(DecisionContext& context, const std::optional<RequestId>& id) -> bool
{
    return id && tryStart(context, *id);
}

auto agedRequest(const DecisionContext& context) -> std::optional<RequestId>
{
    for (const auto latencyClass : { LatencyClass::Batch, LatencyClass::Standard }) {
        const auto id = context.state.queue.oldest(latencyClass);
        if (!id)
            continue;
        const auto& request = *findRequest(context.state, *id);
        if (context.now - request.arrivedAt >= (request.arrival.deadline - request.arrivedAt) / agedPartOfDeadline)
            return id;
    }
    return std::nullopt;
}

auto startFromClass(DecisionContext& context, LatencyClass latencyClass) -> bool
{
    std::array<RequestId, triedFlows> heads {};
    const auto count = context.state.queue.heads(latencyClass, heads);
    return std::any_of(heads.begin(), heads.begin() + count, [&](RequestId id) { return tryStart(context, id); });
}

auto startOne(DecisionContext& context) -> bool
{
    auto& state = context.state;
    if (tryStart(context, state.queue.oldestResume()))
        return true;
    const auto agedTurn = state.startsSinceAged >= startsPerAgedTurn ? agedRequest(context) : std::nullopt;
    if (agedTurn && tryStart(context, *agedTurn)) {
        state.startsSinceAged = 0;
        return true;
    }
    if (startFromClass(context, LatencyClass::Interactive))
        return true;
    // What frees up is left for the aged request that does not fit yet; only interactive work passes it.
    if (agedTurn)
        return false;
    if (leavesHeadroom(state, LatencyClass::Standard) && startFromClass(context, LatencyClass::Standard))
        return true;
    if (!leavesHeadroom(state, LatencyClass::Batch))
        return false;
    return startFromClass(context, LatencyClass::Batch) || tryStart(context, state.queue.oldestLate());
}

auto startReady(DecisionContext& context) -> void
{
    auto& ready = context.state.ready;
    while (!ready.empty()) {
        if (!startDecode(context, *findRequest(context.state, ready.begin()->second)))
            return;
    }
}

/// A seat that frees up goes to the work that was started for it before new work gets it.
auto keepPromises(DecisionContext& context) -> void
{
    auto& promised = context.state.promised;
    while (!promised.empty()) {
        if (!reserveDecode(context, *findRequest(context.state, promised.begin()->second)))
            return;
    }
}

}

auto dispatch(DecisionContext& context) -> void
{
    startReady(context);
    keepPromises(context);
    auto& state = context.state;
    while (state.queue.size() && startOne(context)) { }
    if (state.queue.size())
        state.pace.backlogStarted(context.now);
    else
        state.pace.backlogEnded();
    if (state.queue.lateSize())
        state.latePace.backlogStarted(context.now);
    else
        state.latePace.backlogEnded();
}

}
