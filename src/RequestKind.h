#pragma once

/// A kind of request of a service: its latency targets, its deadline and whether a call may be repeated.

#include "LatencyClass.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

struct RequestKind {
    std::string name;
    LatencyClass latencyClass = LatencyClass::Standard;
    /// Orders requests whose customers have the same priority; 0 is the most urgent.
    std::int64_t priority = 1;
    /// Target for the time to first token (TTFT).
    std::chrono::milliseconds firstToken { 500 };
    /// Target for the time between tokens (TBT).
    std::chrono::milliseconds tokenGap { 37 };
    /// Time from arrival after which a response is of no use.
    std::chrono::milliseconds deadline { 60'000 };
    /// Time without a token, also before the first, after which callers disconnect; zero if they wait
    /// until the deadline.
    std::chrono::milliseconds callerIdleTimeout { 0 };
    /// Whether a call may run more than once. Calls for which this is false need an idempotency key.
    bool repeatable = true;
    /// Maximum number of backend servers on which one request may run.
    std::int64_t maxAttempts = 5;
    /// Whether a call that is not repeatable is recorded before it is sent, so that it runs at most once
    /// over all retries of its caller. Otherwise it runs at most once for each request.
    bool recorded = true;
    /// HTTP methods that select this kind at a plain service; empty selects all.
    std::vector<std::string> methods;
    /// Path prefix that selects this kind at a plain service; empty selects all.
    std::string pathPrefix;

    auto operator==(const RequestKind&) const -> bool = default;
};

}
