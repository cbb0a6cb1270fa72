#include "Deadlines.h"

#include "Estimates.h"
#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Estimates of the wait are rough; only a wait this much longer than what is left is clear.
constexpr double clearlyTooLong = 1.5;
/// Moves of the margin after a first token: up where it was late, down where it was in time. The
/// ratio makes 95% of the predictions hold.
constexpr Duration marginUp = std::chrono::microseconds(4'750);
constexpr Duration marginDown = std::chrono::microseconds(250);
/// Part of the target that the margin may take; more would refuse work that can succeed.
constexpr int largestMarginPart = 4;

/// Part of a caller's patience that is left for what the forecast does not see: the wait for a seat at
/// the engines, their queues, and the first step of the decode.
constexpr int patienceMarginPart = 4;

/// Part of a kind's time that is left to a request that has waited for a first token in vain, but has
/// not been refused before, in hundredths.
constexpr int returnPart = 80;
constexpr int wholeTime = 100;

auto clearlyExceeds(Duration wait, Duration left) -> bool
{
    return static_cast<double>(wait.count()) > static_cast<double>(left.count()) * clearlyTooLong;
}

/// Estimates that refuse all work would never be corrected, so an instance without work in progress
/// does not rely on them.
auto mayRelyOnEstimates(const ShardState& state) -> bool
{
    return state.running > 0;
}

auto timeToFirstToken(const ShardState& state, const ActiveRequest& request) -> Duration
{
    return prefillTime(state, request.arrival.promptTokens) + transferTime(state, request);
}

}

auto latestOnTimeStart(const ShardState& state, const ActiveRequest& request) -> TimePoint
{
    if (request.subQueue == SubQueue::Resume)
        return TimePoint::max();
    const auto target = std::chrono::duration_cast<Duration>(kindOf(state, request).firstToken);
    const auto margin = std::min(state.rates.firstTokenMargin, target / largestMarginPart);
    return request.arrivedAt + target - timeToFirstToken(state, request) - margin;
}

auto latestStart(const ShardState& state, const ActiveRequest& request) -> TimePoint
{
    const auto isKnown = mayRelyOnEstimates(state);
    const auto firstToken = isKnown ? timeToFirstToken(state, request) : Duration::zero();
    const auto decode = isKnown ? Duration(static_cast<Duration::rep>(minRemainingTokens(state, request) * 1e6 / state.rates.tokensPerSecond.value())) : Duration::zero();
    const auto beforeDeadline = request.arrival.deadline - firstToken - decode;
    const auto callerIdleTimeout = std::chrono::duration_cast<Duration>(kindOf(state, request).callerIdleTimeout);
    if (callerIdleTimeout <= Duration::zero() || request.subQueue == SubQueue::Resume)
        return beforeDeadline;
    return std::min(beforeDeadline, request.arrivedAt + callerIdleTimeout - callerIdleTimeout / patienceMarginPart - firstToken);
}

auto expectedWait(const DecisionContext& context, const ActiveRequest& request) -> Duration
{
    const auto& queue = context.state.queue;
    double ahead = 0;
    for (auto urgent = 0; urgent < static_cast<int>(request.latencyClass); ++urgent)
        ahead += static_cast<double>(queue.classSize(static_cast<LatencyClass>(urgent)));
    const auto share = queue.share(request.flow(), request.latencyClass, customerWeight(context.state, request));
    const auto inFlow = static_cast<double>(queue.flowSize(request.flow())) / share;
    ahead += std::min(inFlow, static_cast<double>(queue.classSize(request.latencyClass)));
    return Duration(static_cast<Duration::rep>(ahead * static_cast<double>(context.state.startRate.interval(context.now).count())));
}

auto expectedOverdueWait(const DecisionContext& context) -> Duration
{
    const auto ahead = static_cast<Duration::rep>(context.state.queue.overdueCount());
    return context.state.overdueStartRate.interval(context.now) * ahead;
}

auto cannotMeetDeadline(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    if (request.subQueue == SubQueue::Resume)
        return false;
    const auto left = latestStart(context.state, request) - context.now;
    if (left <= Duration::zero())
        return true;
    if (request.subQueue == SubQueue::Overdue && request.latencyClass == LatencyClass::Batch)
        return false;
    if (request.subQueue == SubQueue::Overdue)
        return clearlyExceeds(expectedOverdueWait(context), left);
    return request.subQueue == SubQueue::Fair && clearlyExceeds(expectedWait(context, request), left);
}

auto refusalInputs(const DecisionContext& context, const ActiveRequest& request) -> RefusalInputs
{
    const auto wait = request.subQueue == SubQueue::Overdue ? expectedOverdueWait(context) : expectedWait(context, request);
    return { context.state.queue.size(), wait, request.arrival.deadline - latestStart(context.state, request) };
}

auto shouldRetryLater(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    if (!context.state.settings.refuseOverdue || request.subQueue == SubQueue::Resume || request.latencyClass == LatencyClass::Batch || request.mayHaveRun)
        return false;
    const auto whole = std::chrono::duration_cast<Duration>(kindOf(context.state, request).deadline);
    return request.arrival.deadline - context.now >= whole * returnPart / wholeTime;
}

auto moveToOverdue(DecisionContext& context, ActiveRequest& request) -> void
{
    request.subQueue = SubQueue::Overdue;
    if (request.latencyClass == LatencyClass::Interactive)
        context.state.headroomScale.observe(true);
}

auto updateFirstTokenMargin(DecisionContext& context, const ActiveRequest& request) -> void
{
    if (request.latencyClass == LatencyClass::Batch || request.subQueue != SubQueue::Fair)
        return;
    const auto target = std::chrono::duration_cast<Duration>(kindOf(context.state, request).firstToken);
    auto& margin = context.state.rates.firstTokenMargin;
    const auto late = context.now > request.arrivedAt + target;
    margin += late ? marginUp : -marginDown;
    margin = std::clamp(margin, Duration::zero(), target / largestMarginPart);
    if (request.latencyClass == LatencyClass::Interactive)
        context.state.headroomScale.observe(late);
}

}
