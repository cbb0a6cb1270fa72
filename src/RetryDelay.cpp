#include "RetryDelay.h"

namespace jayhold {

namespace {

constexpr Duration shortestDelay = std::chrono::milliseconds(500);
constexpr Duration longestDelay = std::chrono::milliseconds(3'000);

}

auto retryDelay(DecisionContext& context, RefusalReason reason) -> Duration
{
    if (reason == RefusalReason::TooLarge || reason == RefusalReason::CrashSuspect)
        return Duration::zero();
    std::uniform_int_distribution<Duration::rep> spread(shortestDelay.count(), longestDelay.count());
    return Duration(spread(context.state.random));
}

}
