#pragma once

/// Action: give the caller its final answer at once. Nothing is held for the request any more.

#include "ExecutionOutcome.h"
#include "Identifiers.h"
#include "RefusalReason.h"
#include "Time.h"

#include <cstdint>

namespace jayhold {

/// What the decision rested on, for the log.
struct RefusalInputs {
    /// Requests that waited, this one included.
    std::uint64_t queued = 0;
    /// Expected wait until the request would have started.
    Duration wait {};
    /// Time from its start until a caller would have been served at the latest estimate.
    Duration needed {};
};

struct Refuse {
    RequestId request;
    RefusalReason reason;
    ExecutionOutcome outcome;
    /// Time after which the caller may come back, spread at random; zero where it should not.
    Duration retryAfter;
    RefusalInputs inputs {};
};

}
