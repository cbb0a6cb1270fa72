#pragma once

/// Limits the log lines of each kind of event, as a pure state machine, so that a flood of one kind
/// neither fills the output nor hides the others.

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

    /// Lines of one kind in a second; one instance has some 20 requests a second at the peak of today's
    /// sites, each with a few lines.
    double linesPerSecond = 200;
    /// Lines of one kind at once after a pause.
    double burst = 400;
    std::map<std::string, Bucket, std::less<>> buckets;
};

/// @return whether a line of this kind may be written now; otherwise it is counted as left out.
auto admitLine(LogRateLimiter& rate, TimePoint now, std::string_view event) -> bool;

/// @return the lines of this kind that were left out since the last call.
auto takeDroppedLines(LogRateLimiter& rate, std::string_view event) -> std::uint64_t;

}
