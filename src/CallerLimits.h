#pragma once

/// Limits on the requests and connections of callers.

#include <chrono>
#include <cstdint>

namespace jayhold {

struct CallerLimits {
    std::int64_t headerBytes = 16'384;
    std::int64_t bodyBytes = 4'194'304;
    /// Time from the first byte of a request until all of it must have arrived.
    std::chrono::milliseconds readTimeout { 10'000 };
    /// Longest idle time between two requests on one connection.
    std::chrono::milliseconds idleTimeout { 60'000 };

    auto operator==(const CallerLimits&) const -> bool = default;
};

}
