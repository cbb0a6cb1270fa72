#pragma once

/// Limits the rate of log lines with one token bucket per event name, as a pure state machine, so that
/// a flood of one event neither fills the output nor hides other events.

#include "Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jayhold {

struct LogRateLimiter {
    struct Bucket {
        double tokens = 0;
        TimePoint refilledAt {};
        std::uint64_t droppedLines = 0;
    };

    /// Maximum rate of one event. At the peak of the existing sites, an instance handles about 20
    /// requests a second, each with a few lines.
    double linesPerSecond = 200;
    /// Capacity of a bucket: lines of one event that may be written at once after an idle period.
    double burst = 400;
    std::map<std::string, Bucket, std::less<>> buckets;
};

/// @return whether a line of this event may be written now; otherwise it is counted as dropped.
auto admitLine(LogRateLimiter& limiter, TimePoint now, std::string_view event) -> bool;

/// @return number of lines of this event that were dropped since the last call.
auto takeDroppedLines(LogRateLimiter& limiter, std::string_view event) -> std::uint64_t;

}
