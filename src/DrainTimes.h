#pragma once

/// The points in time at which a draining instance ends what is still open.

#include "Time.h"

#include <algorithm>

namespace jayhold {

/// Time for the answers of requests that are ended by the drain to reach their callers before the process
/// exits.
inline constexpr Duration drainAnswerTime = std::chrono::milliseconds(500);
/// The answers take at most this fraction (1/16) of a short drain.
inline constexpr int drainAnswerDivisor = 16;

struct DrainTimes {
    /// The decision code ends its requests, and plain calls time out.
    TimePoint requestsEndAt;
    /// The server ends the exchanges whose handlers still run.
    TimePoint exchangesEndAt;
    /// The process exits.
    TimePoint exitAt;
};

/// @param duration time from the start of the drain until the process exits.
inline auto drainTimes(TimePoint startedAt, Duration duration) -> DrainTimes
{
    const auto exitAt = startedAt + duration;
    const auto answerTime = std::min(drainAnswerTime, duration / drainAnswerDivisor);
    return { exitAt - answerTime, exitAt - answerTime / 2, exitAt };
}

}
