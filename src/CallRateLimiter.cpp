#include "CallRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

auto reserveCall(CallRateLimiter& limiter, TimePoint now, Duration maxWait) -> Duration
{
    if (now > limiter.refilledAt) {
        const auto elapsed = std::chrono::duration<double>(now - limiter.refilledAt).count();
        limiter.tokens = std::min(limiter.burst, limiter.tokens + elapsed * limiter.callsPerSecond);
        limiter.refilledAt = now;
    }
    const auto missing = 1 - limiter.tokens;
    const auto wait = missing <= 0 ? Duration::zero() : Duration(static_cast<Duration::rep>(std::ceil(missing / limiter.callsPerSecond * 1e6)));
    if (wait > maxWait)
        return Duration(-1);
    limiter.tokens -= 1;
    return wait;
}

}
