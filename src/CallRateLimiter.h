#pragma once

/// A token bucket that limits the calls to the platform per second. It is a plain struct without
/// a clock, so that tests run it in virtual time.

#include "Time.h"

namespace jayhold {

struct CallRateLimiter {
    double callsPerSecond = 100;
    /// Calls that may be made at once after a pause.
    double burst = 50;
    double tokens = 50;
    TimePoint refilledAt {};
};

/// Takes one call from the budget.
/// @param maxWait a call that had to wait longer is refused and takes nothing.
/// @return the time to wait before the call, zero for now, or a negative time when refused.
auto reserveCall(CallRateLimiter& budget, TimePoint now, Duration maxWait) -> Duration;

}
