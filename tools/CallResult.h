#pragma once

/// How one call of the load tool ended.

#include "Time.h"

#include <string>
#include <vector>

namespace jayhold {

enum class CallOutcome {
    /// The complete, correct response arrived.
    Whole,
    /// The load tool cancelled the stream.
    Cancelled,
    /// Rejected with the statement that it did not run, or no connection was established.
    NotRun,
    /// The call may have run: the rejection does not rule it out, or the connection was lost.
    Unknown,
    /// The response differs from the expected one.
    Wrong,
    /// The response arrived twice.
    Doubled,
    /// No complete response arrived before the call timed out.
    Lost,
};

struct CallResult {
    CallOutcome outcome = CallOutcome::Lost;
    /// Describes the result of the last attempt, for the log.
    std::string detail;
    std::int64_t attempts = 0;
    Duration firstToken { 0 };
    /// Time between arrivals of tokens; tokens that arrive together count as one arrival.
    std::vector<Duration> gaps;
};

}
