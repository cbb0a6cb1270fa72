#include "Deadlines.h"

#include "Estimates.h"
#include "ReplicaPauses.h"
#include "RequestLifecycle.h"
#include "RequestRanks.h"
#include "SlotHeadroom.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Wait estimates are rough. A wait counts as too long only if it exceeds the remaining time by this
/// factor.
constexpr double waitExcessFactor = 1.5;
/// Steps of the margin after each first token: an increase if it was late, a decrease if it was on
/// time. At their ratio of 19 to 1, 95% of the predictions hold.
constexpr Duration marginIncrease = std::chrono::microseconds(4'750);
constexpr Duration marginDecrease = std::chrono::microseconds(250);
/// The margin takes at most this fraction of the target. A larger one would refuse work that can
/// succeed.
constexpr int targetMarginDivisor = 4;

/// This fraction of the caller's idle timeout is kept for what the estimates do not cover: the wait for
/// a slot at the engines, their queues, and the first step of the decode.
constexpr int idleTimeoutMarginDivisor = 4;

/// This fraction of the caller's idle timeout is kept for the way of a refusal to the caller.
constexpr int refusalMarginDivisor = 16;

constexpr int wholePercent = 100;

auto clearlyExceeds(Duration wait, Duration remaining) -> bool
{
    return static_cast<double>(wait.count()) > static_cast<double>(remaining.count()) * waitExcessFactor;
}

/// Estimates that refuse all work would never be corrected, so an instance without work in progress
/// does not rely on them.
auto canRelyOnEstimates(const ShardState& state) -> bool
{
    return state.running > 0;
}

auto scaled(Duration duration, double factor) -> Duration
{
    return factor == 1 ? duration : Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// A caller that was refused and has returned counts its target from its first attempt. Where ranks differ, its request is
/// therefore overdue on arrival, so that it does not make requests late that can still be on time.
/// @return when the time to the target began.
auto targetBeginsAt(const ShardState& state, const ActiveRequest& request) -> TimePoint
{
    if (!hasSeveralRanks(state) || !hasReturned(state, request))
        return request.arrivedAt;
    return request.arrival.deadline - std::chrono::duration_cast<Duration>(kindOf(state, request).deadline);
}

auto timeToFirstToken(const ShardState& state, const ActiveRequest& request) -> Duration
{
    return prefillTime(state, request.arrival.promptTokens) + transferTime(state, request);
}

}

auto endOfTime(const ShardState& state, const ActiveRequest& request) -> TimePoint
{
    return std::min(request.arrival.deadline, state.endsAt);
}

auto endsBeforeDeadline(const ShardState& state, const ActiveRequest& request) -> bool
{
    return state.endsAt < request.arrival.deadline;
}

auto latestOnTimeStart(const ShardState& state, const ActiveRequest& request) -> TimePoint
{
    if (request.subQueue == SubQueue::Resume)
        return TimePoint::max();
    const auto target = std::chrono::duration_cast<Duration>(kindOf(state, request).firstToken);
    const auto margin = std::min(state.rates.firstTokenMargin, target / targetMarginDivisor);
    return targetBeginsAt(state, request) + target - timeToFirstToken(state, request) - margin;
}

namespace {

/// Estimated time that a request takes from its start.
struct NeededTime {
    /// Until the caller has the first token.
    Duration firstToken {};
    /// From the first token to the last.
    Duration decode {};
};

/// @return the time that the request takes from its start, as far as an estimate may refuse it; zero if none may.
auto neededTime(const ShardState& state, const ActiveRequest& request) -> NeededTime
{
    // A request that the end of a drain would cut is better served by another instance. It starts only if it will probably
    // have ended by then, so the full estimates of the longest response count.
    const auto isEndedByDrain = endsBeforeDeadline(state, request);
    if (!isEndedByDrain && !canRelyOnEstimates(state))
        return {};
    // The estimates are rough, and those of long requests are the largest. Where ranks differ, they are reduced by the same
    // factor as waits, so that long requests are not refused more often than short ones.
    const auto divisor = hasSeveralRanks(state) && !isEndedByDrain ? waitExcessFactor : 1.0;
    const auto tokens = isEndedByDrain ? maxRemainingTokens(state, request) : minRemainingTokens(state, request);
    return {
        .firstToken = scaled(timeToFirstToken(state, request), 1 / divisor),
        .decode = Duration(static_cast<Duration::rep>(tokens * 1e6 / state.rates.tokensPerSecond.value() / divisor)),
    };
}

/// @param firstToken time from the start to the first token.
/// @return the latest start with which the first token arrives before the caller disconnects; TimePoint::max() if the caller
/// has tokens or no idle timeout.
auto latestStartForIdleTimeout(const ShardState& state, const ActiveRequest& request, Duration firstToken) -> TimePoint
{
    const auto idleTimeout = std::chrono::duration_cast<Duration>(kindOf(state, request).callerIdleTimeout);
    if (idleTimeout <= Duration::zero() || request.subQueue == SubQueue::Resume)
        return TimePoint::max();
    const auto margin = idleTimeout / idleTimeoutMarginDivisor;
    return request.arrivedAt + idleTimeout - margin - firstToken;
}

}

auto latestStart(const ShardState& state, const ActiveRequest& request) -> TimePoint
{
    const auto needed = neededTime(state, request);
    const auto forDeadline = endOfTime(state, request) - needed.firstToken - needed.decode;
    return std::min(forDeadline, latestStartForIdleTimeout(state, request, needed.firstToken));
}

auto latestRefusal(const ShardState& state, const ActiveRequest& request) -> TimePoint
{
    const auto callerIdleTimeout = std::chrono::duration_cast<Duration>(kindOf(state, request).callerIdleTimeout);
    const auto hasTokens = request.emitted > 0 || request.phase == RequestPhase::Decoding || request.phase == RequestPhase::Stopping;
    if (callerIdleTimeout <= Duration::zero() || hasTokens)
        return endOfTime(state, request);
    return std::min(endOfTime(state, request), request.arrivedAt + callerIdleTimeout - callerIdleTimeout / refusalMarginDivisor);
}

auto expectedWait(const DecisionContext& context, const ActiveRequest& request) -> Duration
{
    const auto& queue = context.state.queue;
    auto ahead = static_cast<double>(queue.sizeBefore(request.rank));
    for (auto moreUrgent = 0; moreUrgent < static_cast<int>(request.latencyClass); ++moreUrgent)
        ahead += static_cast<double>(queue.classSize(request.rank, static_cast<LatencyClass>(moreUrgent)));
    const auto share = queue.share(request.rank, request.flow(), request.latencyClass, customerWeight(context.state, request));
    const auto inFlow = static_cast<double>(queue.flowSize(request.rank, request.flow())) / share;
    ahead += std::min(inFlow, static_cast<double>(queue.classSize(request.rank, request.latencyClass)));
    return Duration(static_cast<Duration::rep>(ahead * static_cast<double>(context.state.startInterval.interval(context.now).count())));
}

auto expectedOverdueWait(const DecisionContext& context, const ActiveRequest& request) -> Duration
{
    const auto& state = context.state;
    const auto behindNew = state.overdueStartInterval.interval(context.now) * static_cast<Duration::rep>(state.queue.overdueCount());
    if (!hasSeveralRanks(state))
        return behindNew;
    const auto ahead = state.queue.sizeBefore(request.rank) + state.queue.rankSize(request.rank);
    const auto wait = state.startInterval.interval(context.now) * static_cast<Duration::rep>(ahead);
    // New requests of the least urgent rank go before its overdue ones, also those that arrive later.
    return hasLessUrgentRank(state, request) ? wait : std::max(wait, behindNew);
}

auto pausesEndAfterLatestStart(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    const auto end = pausesEndAt(context.state, context.now);
    return end > context.now && end > latestStart(context.state, request);
}

auto cannotStartInTime(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    if (request.subQueue == SubQueue::Resume)
        return false;
    return latestStart(context.state, request) <= context.now || pausesEndAfterLatestStart(context, request);
}

auto willMissTarget(const DecisionContext& context, const ActiveRequest& request, Duration wait) -> bool
{
    const auto latest = latestOnTimeStart(context.state, request);
    return latest != TimePoint::max() && context.now + wait * 2 / 3 > latest;
}

auto waitsTooLong(const DecisionContext& context, const ActiveRequest& request, Duration wait) -> bool
{
    return clearlyExceeds(wait, latestStart(context.state, request) - context.now);
}

auto overloadReason(const ShardState& state, const ActiveRequest& request) -> RefusalReason
{
    return endsBeforeDeadline(state, request) ? RefusalReason::Draining : RefusalReason::Overloaded;
}

auto cannotMeetDeadline(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    if (request.subQueue == SubQueue::Resume)
        return false;
    if (cannotStartInTime(context, request))
        return true;
    if (request.subQueue == SubQueue::Overdue)
        return request.latencyClass != LatencyClass::Batch && waitsTooLong(context, request, expectedOverdueWait(context, request));
    return waitsTooLong(context, request, expectedWait(context, request));
}

auto refusalInputs(const DecisionContext& context, const ActiveRequest& request) -> RefusalInputs
{
    const auto wait = request.subQueue == SubQueue::Overdue ? expectedOverdueWait(context, request) : expectedWait(context, request);
    return {
        .queued = context.state.queue.size(),
        .wait = wait,
        .needed = endOfTime(context.state, request) - latestStart(context.state, request),
        .failures = request.failures,
        .attemptsNotRun = request.attemptsNotRun,
        .consumedRetries = request.consumedRetries,
        .remainingRetries = context.state.retryBudget.remaining(),
        .rank = request.rank,
    };
}

auto shouldRetryLater(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    if (!context.state.settings.refuseOverdue || request.subQueue == SubQueue::Resume || request.latencyClass == LatencyClass::Batch || request.mayHaveRun)
        return false;
    // Less urgent requests make room for this one, so it need not come back.
    if (hasLessUrgentRank(context.state, request) && fitsWithMoreUrgent(context, request))
        return false;
    const auto kindDeadline = std::chrono::duration_cast<Duration>(kindOf(context.state, request).deadline);
    return request.arrival.deadline - context.now >= kindDeadline * returnedTimePercent / wholePercent;
}

auto moveToOverdue(DecisionContext& context, ActiveRequest& request) -> void
{
    request.subQueue = SubQueue::Overdue;
    if (isMostUrgent(context.state, request) && !(hasSeveralRanks(context.state) && hasReturned(context.state, request)))
        context.state.headroomScale.observe(true);
}

auto updateFirstTokenMargin(DecisionContext& context, const ActiveRequest& request) -> void
{
    if (request.latencyClass == LatencyClass::Batch || request.subQueue != SubQueue::Fair)
        return;
    const auto target = std::chrono::duration_cast<Duration>(kindOf(context.state, request).firstToken);
    auto& margin = context.state.rates.firstTokenMargin;
    const auto late = context.now > request.arrivedAt + target;
    margin += late ? marginIncrease : -marginDecrease;
    margin = std::clamp(margin, Duration::zero(), target / targetMarginDivisor);
    if (isMostUrgent(context.state, request))
        context.state.headroomScale.observe(late);
}

}
