#pragma once

/// How one call of the load tool ended.

#include "Time.h"

#include <string>
#include <vector>

namespace jayhold {

enum class CallOutcome {
    /// The complete and right answer arrived.
    Whole,
    /// The load tool cancelled the stream.
    Cancelled,
    /// Refused with the statement that it did not run.
    NotRun,
    /// It may have run: refused as unknown, or the connection was lost.
    Unknown,
    /// An answer other than the expected one arrived.
    Wrong,
    /// The answer came twice.
    Doubled,
    /// No final answer within the time for the call.
    Lost,
};

struct CallResult {
    CallOutcome outcome = CallOutcome::Lost;
    /// What the last attempt showed, for the log.
    std::string detail;
    std::int64_t attempts = 0;
    Duration firstToken { 0 };
    /// Time between tokens; several that arrived together count from the first of them.
    std::vector<Duration> gaps;
};

}
