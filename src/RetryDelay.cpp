#include "RetryDelay.h"

#include "Deadlines.h"
#include "ReplicaPauses.h"
#include "RequestLifecycle.h"
#include "RequestRanks.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr Duration minMeanDelay = std::chrono::seconds(1);
constexpr Duration maxMeanDelay = std::chrono::seconds(20);
/// Bursts last some seconds and deadlines are several times as long. A request that is sent again needs
/// most of its time for its execution.
constexpr int retryDeadlineDivisor = 4;
/// Where the delay is the time until there is room, the jitter only prolongs it, by up to this fraction.
constexpr int rankedJitterDivisor = 4;

auto timeForStarts(const DecisionContext& context, std::size_t starts) -> Duration
{
    return std::clamp(context.state.startInterval.interval(context.now) * static_cast<Duration::rep>(starts), minMeanDelay, maxMeanDelay);
}

auto burstDelay(const DecisionContext& context, const ActiveRequest& request) -> Duration
{
    return std::chrono::duration_cast<Duration>(kindOf(context.state, request).deadline) / retryDeadlineDivisor;
}

/// @return a random delay between the two.
auto anyBetween(DecisionContext& context, Duration first, Duration last) -> Duration
{
    std::uniform_int_distribution<Duration::rep> distribution(first.count(), last.count());
    return Duration(distribution(context.state.random));
}

/// @return the time to work off the whole backlog.
auto backlogDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration
{
    auto mean = timeForStarts(context, context.state.queue.size());
    if (reason == RefusalReason::Overloaded && context.state.settings.refuseOverdue)
        mean = std::max(mean, burstDelay(context, request));
    return anyBetween(context, mean / 2, mean * 3 / 2);
}

/// @return whether the caller is expected to return for a start at this instance.
auto returnsForStart(RefusalReason reason) -> bool
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::QueueFull || reason == RefusalReason::RetriesExhausted;
}

/// @return the time for the starts before that of the request once its caller has returned.
auto rankedDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration
{
    auto& state = context.state;
    const auto& queue = state.queue;
    const auto waiting = queue.resumeCount() + queue.sizeBefore(request.rank) + queue.rankSize(request.rank);
    const auto promised = returnsForStart(reason) ? state.returnPromises.countUpTo(request.rank, context.now) : 0;
    auto delay = timeForStarts(context, waiting + promised);
    const auto isLate = request.subQueue == SubQueue::Overdue || latestOnTimeStart(state, request) <= context.now;
    if (reason == RefusalReason::Overloaded && state.settings.refuseOverdue && isLate)
        delay = std::max(delay, burstDelay(context, request));
    return anyBetween(context, delay, delay + delay / rankedJitterDivisor);
}

/// @return the time until the end of the pauses if all replicas that could run the request are paused.
auto pauseDelay(const DecisionContext& context) -> Duration
{
    return pausesEndAt(context.state, context.now) - context.now;
}

}

auto retryDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration
{
    if (reason == RefusalReason::TooLarge || reason == RefusalReason::CrashSuspect)
        return Duration::zero();
    // A caller that is refused at shutdown comes back to another instance.
    if (reason == RefusalReason::Draining)
        return backlogDelay(context, request, reason);
    // A caller that returns before the end of all pauses would be refused again.
    if (!hasSeveralRanks(context.state))
        return pauseDelay(context) + backlogDelay(context, request, reason);
    const auto delay = pauseDelay(context) + rankedDelay(context, request, reason);
    // A caller does not return after its deadline.
    const auto returnAt = context.now + delay;
    if (returnsForStart(reason) && returnAt < request.arrival.deadline)
        context.state.returnPromises.add(request.rank, request.arrival.signature, context.now, returnAt);
    return delay;
}

}
