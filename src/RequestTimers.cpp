#include "RequestTimers.h"

#include "Deadlines.h"
#include "QueuedRequests.h"
#include "RequestLifecycle.h"
#include "RetryRules.h"

#include <algorithm>

namespace jayhold {

namespace {

/// An attempt without progress for this long is cancelled. The time is long because engines report
/// progress in batches.
constexpr Duration stallTimeout = std::chrono::seconds(10);

/// Interval of checks that refuse overdue requests when the remaining capacity is too small for them.
constexpr Duration overdueCheckInterval = std::chrono::seconds(1);
/// A request that is overdue on arrival may start at once where there is room, and is refused with a
/// retry delay after this time.
constexpr Duration overdueRefusalDelay = std::chrono::milliseconds(100);

/// A waiting request is checked when it becomes overdue or can no longer meet its deadline. An overdue
/// request is also checked in between.
auto nextCheck(const DecisionContext& context, const ActiveRequest& request) -> TimePoint
{
    if (request.subQueue == SubQueue::Resume)
        return TimePoint::max();
    const auto last = pausesEndAfterLatestStart(context, request) ? context.now : latestStart(context.state, request);
    if (request.subQueue == SubQueue::Fair)
        return std::max(std::min(last, latestOnTimeStart(context.state, request)), context.now);
    return std::min(last, context.now + (shouldRetryLater(context, request) ? overdueRefusalDelay : overdueCheckInterval));
}

}

auto setTimer(DecisionContext& context, ActiveRequest& request) -> void
{
    auto time = latestRefusal(context.state, request);
    if (request.phase == RequestPhase::Queued)
        time = std::min(time, nextCheck(context, request));
    if (request.phase == RequestPhase::Prefilled)
        time = std::min(time, pausesEndAfterLatestStart(context, request) ? context.now : request.kvExpiresAt);
    else if (request.phase == RequestPhase::Stopping)
        time = std::min(time, request.phaseStartedAt + tokenCountTimeout);
    else if (request.phase != RequestPhase::Queued)
        time = std::min(time, request.lastProgressAt + stallTimeout);
    context.state.timers.move(request.arrival.request, request.timerAt, time);
}

auto checkWaiting(DecisionContext& context, ActiveRequest& request) -> void
{
    if (shouldRetryLater(context, request) && latestOnTimeStart(context.state, request) <= context.now) {
        refuse(context, request, RefusalReason::Overloaded);
        return;
    }
    if (request.subQueue == SubQueue::Fair && latestOnTimeStart(context.state, request) <= context.now) {
        removeFromQueue(context.state, request);
        moveToOverdue(context, request);
        pushToQueue(context.state, request);
    }
    if (cannotMeetDeadline(context, request))
        refuse(context, request, overloadReason(context.state, request));
    else
        setTimer(context, request);
}

}
