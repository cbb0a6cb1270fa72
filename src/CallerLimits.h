#pragma once

/// What a caller may send, and how long it may take or stay idle.

#include <chrono>
#include <cstdint>

namespace jayhold {

struct CallerLimits {
    std::int64_t headerBytes = 16'384;
    std::int64_t bodyBytes = 4'194'304;
    /// For a request to arrive whole once its first byte has.
    std::chrono::milliseconds readTimeout { 10'000 };
    /// Between two requests on one connection.
    std::chrono::milliseconds idleTimeout { 60'000 };

    auto operator==(const CallerLimits&) const -> bool = default;
};

}
