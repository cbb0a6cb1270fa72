#include "RetryDelay.h"

#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr Duration shortestMean = std::chrono::seconds(1);
constexpr Duration longestMean = std::chrono::seconds(20);
/// Bursts last some seconds, deadlines are several times as long, and a request that returns needs most
/// of its time for the service.
constexpr int returnPartOfDeadline = 4;

auto meanDelay(const DecisionContext& context) -> Duration
{
    const auto& state = context.state;
    const auto backlog = state.startRate.interval(context.now) * static_cast<Duration::rep>(state.queue.size());
    return std::clamp(backlog, shortestMean, longestMean);
}

}

auto retryDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration
{
    if (reason == RefusalReason::TooLarge || reason == RefusalReason::CrashSuspect)
        return Duration::zero();
    auto delay = meanDelay(context);
    if (reason == RefusalReason::Overloaded && context.state.settings.refuseOverdue)
        delay = std::max(delay, std::chrono::duration_cast<Duration>(kindOf(context.state, request).deadline) / returnPartOfDeadline);
    const auto mean = delay.count();
    std::uniform_int_distribution<Duration::rep> spread(mean / 2, mean * 3 / 2);
    return Duration(spread(context.state.random));
}

}
