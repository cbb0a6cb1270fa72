#include "RetryDelay.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr Duration shortestMean = std::chrono::seconds(1);
constexpr Duration longestMean = std::chrono::seconds(20);

auto meanDelay(const DecisionContext& context) -> Duration
{
    const auto& state = context.state;
    const auto backlog = state.pace.interval(context.now) * static_cast<Duration::rep>(state.queue.size());
    return std::clamp(backlog, shortestMean, longestMean);
}

}

auto retryDelay(DecisionContext& context, RefusalReason reason) -> Duration
{
    if (reason == RefusalReason::TooLarge || reason == RefusalReason::CrashSuspect)
        return Duration::zero();
    const auto mean = meanDelay(context).count();
    std::uniform_int_distribution<Duration::rep> spread(mean / 2, mean * 3 / 2);
    return Duration(spread(context.state.random));
}

}
