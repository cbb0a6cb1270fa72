#include "BackOff.h"

#include <algorithm>

namespace jayhold {

auto admitCall(BackOff& backOff, TimePoint now) -> bool
{
    if (backOff.failures == 0)
        return true;
    if (now < backOff.retryAt)
        return false;
    backOff.retryAt = now + backOff.probeTimeout;
    return true;
}

auto recordFailure(BackOff& backOff, TimePoint now, std::uint64_t random) -> void
{
    constexpr unsigned maxDoublings = 16;
    const auto doublings = std::min(backOff.failures, maxDoublings);
    ++backOff.failures;
    const auto full = std::min(backOff.maxDelay, backOff.initialDelay * (1U << doublings));
    const auto half = full.count() / 2;
    backOff.retryAt = now + Duration(half + static_cast<Duration::rep>(random % static_cast<std::uint64_t>(half + 1)));
}

auto recordSuccess(BackOff& backOff) -> void
{
    backOff.failures = 0;
}

auto timeUntilRetry(const BackOff& backOff, TimePoint now) -> Duration
{
    if (backOff.failures == 0)
        return Duration::zero();
    return std::max(Duration::zero(), backOff.retryAt - now);
}

}
