#include "CallRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

auto reserveCall(CallRateLimiter& budget, TimePoint now, Duration maxWait) -> Duration
{
    if (now > budget.refilledAt) {
        const auto elapsed = std::chrono::duration<double>(now - budget.refilledAt).count();
        budget.tokens = std::min(budget.burst, budget.tokens + elapsed * budget.callsPerSecond);
        budget.refilledAt = now;
    }
    const auto missing = 1 - budget.tokens;
    const auto wait = missing <= 0 ? Duration::zero() : Duration(static_cast<Duration::rep>(std::ceil(missing / budget.callsPerSecond * 1e6)));
    if (wait > maxWait)
        return Duration(-1);
    budget.tokens -= 1;
    return wait;
}

}
