#include "Dispatch.h"

#include "CrashWatch.h"
#include "Forecast.h"
#include "Placement.h"
#include "RequestLife.h"
#include "SeatReserve.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Flows of a class that are tried when the first does not fit.
constexpr std::size_t triedFlows = 2;
/// Broken streams among which one is sought that need not wait for the verdict on a crash.
constexpr std::size_t triedResumes = 8;
/// Aged requests get one output token for this many of others, so that their wait is bounded and
/// urgent work still gets nearly all. Counted in tokens because batch answers are long.
constexpr std::uint64_t servicePerAged = 7;
/// A request is aged after this part of its deadline, which leaves most of it for the service.
constexpr int agedPartOfDeadline = 8;

auto tryStart(DecisionContext& context, RequestId id, bool aged = false) -> bool
{
    auto* request = findRequest(context.state, id);
    const auto placement = choosePlacement(context, *request, aged ? 0 : seatsToLeave(context, *request));
    if (!placement)
        return false;
    auto& state = context.state;
    const auto late = request->lane == QueueLane::Late && request->latencyClass != LatencyClass::Batch;
    start(context, *request, *placement);
    state.servedSinceAged += expectedTokens(state, *request);
    state.pace.started(context.now, state.queue.size() > 0);
    if (late)
        state.latePace.started(context.now, state.queue.lateSize() > 0);
    return true;
}

auto tryStart(DecisionContext& context, const std::optional<RequestId>& id) -> bool
{
    return id && tryStart(context, *id);
}

auto oldestResume(const DecisionContext& context) -> std::optional<RequestId>
{
    std::array<RequestId, triedResumes> resumes {};
    const auto end = resumes.begin() + context.state.queue.resumes(resumes);
    const auto found = std::find_if(resumes.begin(), end, [&](RequestId id) { return !awaitsVerdict(context, *findRequest(context.state, id)); });
    return found == end ? std::nullopt : std::optional(*found);
}

auto isAged(const DecisionContext& context, const std::optional<RequestId>& id) -> bool
{
    if (!id)
        return false;
    const auto& request = *findRequest(context.state, *id);
    return context.now - request.arrivedAt >= (request.arrival.deadline - request.arrivedAt) / agedPartOfDeadline;
}

/// @return the aged request whose turn it is.
auto agedRequest(const DecisionContext& context) -> std::optional<RequestId>
{
    const auto& queue = context.state.queue;
    for (const auto& id : { queue.oldestLateBatch(), queue.oldest(LatencyClass::Batch), queue.oldest(LatencyClass::Standard) }) {
        if (!isAged(context, id))
            continue;
        const auto tokens = expectedTokens(context.state, *findRequest(context.state, *id));
        return context.state.servedSinceAged >= servicePerAged * tokens ? id : std::nullopt;
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
    if (tryStart(context, oldestResume(context)))
        return true;
    const auto agedTurn = agedRequest(context);
    if (agedTurn && tryStart(context, *agedTurn, true)) {
        state.servedSinceAged = 0;
        return true;
    }
    if (startFromClass(context, LatencyClass::Interactive))
        return true;
    // What frees up is left for the aged request that does not fit yet; only interactive work passes it.
    if (agedTurn)
        return false;
    return startFromClass(context, LatencyClass::Standard)
        || startFromClass(context, LatencyClass::Batch)
        || tryStart(context, state.queue.oldestLate())
        || tryStart(context, state.queue.oldestLateBatch());
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
