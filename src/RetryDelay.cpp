#include "RetryDelay.h"

#include "ReplicaPauses.h"
#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr Duration minMeanDelay = std::chrono::seconds(1);
constexpr Duration maxMeanDelay = std::chrono::seconds(20);
/// Bursts last some seconds and deadlines are several times as long. A request that is sent again needs
/// most of its time for its execution.
constexpr int retryDeadlineDivisor = 4;

auto meanDelay(const DecisionContext& context) -> Duration
{
    const auto& state = context.state;
    const auto backlog = state.startInterval.interval(context.now) * static_cast<Duration::rep>(state.queue.size());
    return std::clamp(backlog, minMeanDelay, maxMeanDelay);
}

}

auto retryDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration
{
    if (reason == RefusalReason::TooLarge || reason == RefusalReason::CrashSuspect)
        return Duration::zero();
    auto delay = meanDelay(context);
    if (reason == RefusalReason::Overloaded && context.state.settings.refuseOverdue)
        delay = std::max(delay, std::chrono::duration_cast<Duration>(kindOf(context.state, request).deadline) / retryDeadlineDivisor);
    const auto mean = delay.count();
    std::uniform_int_distribution<Duration::rep> distribution(mean / 2, mean * 3 / 2);
    const Duration jittered(distribution(context.state.random));
    // A caller that is refused at shutdown comes back to another instance.
    if (reason == RefusalReason::Draining)
        return jittered;
    // A caller that returns before the end of all pauses would be refused again.
    return pausesEndAt(context.state, context.now) - context.now + jittered;
}

}
