#pragma once

/// A token bucket that limits the rate of calls to the platform. It is a plain struct without a
/// clock, so that tests run it in virtual time.

#include "Time.h"

namespace jayhold {

struct CallRateLimiter {
    double callsPerSecond = 100;
    /// Capacity of the bucket: calls that may be made at once after an idle period.
    double burst = 50;
    double tokens = 50;
    TimePoint refilledAt {};
};

/// Takes one token, if necessary in advance.
/// @param maxWait a call that would have to wait longer is rejected and takes no token.
/// @return the time to wait before the call, zero if it may be made now, negative if it is rejected.
auto reserveCall(CallRateLimiter& limiter, TimePoint now, Duration maxWait) -> Duration;

}
