#pragma once

/// Exponential back-off with jitter towards a service that is down or slow. After a failure all
/// calls are refused until a random time has passed; then one call is let through as a probe.

#include "Time.h"

#include <cstdint>

namespace jayhold {

struct BackOff {
    Duration initialDelay = std::chrono::milliseconds(100);
    /// Kept short, so that a platform that is back is noticed within seconds.
    Duration maxDelay = std::chrono::seconds(3);
    /// While a probe is out, others are refused for at most this time.
    Duration probeTimeout = std::chrono::seconds(1);
    unsigned failures = 0;
    TimePoint retryAt {};
};

/// @return whether a call may be made now.
auto admitCall(BackOff& backOff, TimePoint now) -> bool;

/// @param random a random number that spreads the retries of many instances.
auto recordFailure(BackOff& backOff, TimePoint now, std::uint64_t random) -> void;

auto recordSuccess(BackOff& backOff) -> void;

/// @return the time until the next probe, zero when calls are admitted.
auto timeUntilRetry(const BackOff& backOff, TimePoint now) -> Duration;

}
