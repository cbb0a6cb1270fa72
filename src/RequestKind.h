#pragma once

/// A kind of request of a service: its targets, its deadline and whether a call may be repeated.

#include "LatencyClass.h"

#include <chrono>
#include <string>
#include <vector>

namespace jayhold {

struct RequestKind {
    std::string name;
    LatencyClass latencyClass = LatencyClass::Standard;
    /// Target for the time to first token.
    std::chrono::milliseconds firstToken { 500 };
    /// Target for the time between tokens.
    std::chrono::milliseconds tokenGap { 37 };
    /// Time after which an answer is of no use; measured from arrival.
    std::chrono::milliseconds deadline { 60'000 };
    /// Whether a call may run more than once. Calls that may not need an idempotency key.
    bool repeatable = true;
    /// HTTP methods that select this kind at a plain service; empty selects all.
    std::vector<std::string> methods;
    /// Path prefix that selects this kind at a plain service; empty selects all.
    std::string pathPrefix;

    auto operator==(const RequestKind&) const -> bool = default;
};

}
