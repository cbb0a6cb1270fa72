#pragma once

/// Exponential back-off with jitter for calls to a service that is down or slow. After a failure all
/// calls are rejected until a random delay has passed; then one call is admitted as a probe.

#include "Time.h"

#include <cstdint>

namespace jayhold {

struct BackOff {
    Duration initialDelay = std::chrono::milliseconds(100);
    /// Short, so that the recovery of the platform is detected within seconds.
    Duration maxDelay = std::chrono::seconds(3);
    /// While a probe is in flight, other calls are rejected for at most this time.
    Duration probeTimeout = std::chrono::seconds(1);
    unsigned failures = 0;
    TimePoint retryAt {};
};

/// @return whether a call may be made now; after a failure, an admitted call is the probe.
auto admitCall(BackOff& backOff, TimePoint now) -> bool;

/// @param random a random number for the jitter, which spreads the retries of many instances.
auto recordFailure(BackOff& backOff, TimePoint now, std::uint64_t random) -> void;

auto recordSuccess(BackOff& backOff) -> void;

/// @return the time until the next probe, zero when calls are admitted.
auto timeUntilRetry(const BackOff& backOff, TimePoint now) -> Duration;

}
