#pragma once

/// Action: send the caller its final answer at once. Nothing is reserved for the request any more.

#include "ExecutionOutcome.h"
#include "Identifiers.h"
#include "RefusalReason.h"
#include "RequestRank.h"
#include "Time.h"

#include <cstdint>
#include <optional>

namespace jayhold {

/// The inputs of the decision, for the log.
struct RefusalInputs {
    /// Number of waiting requests, this one included.
    std::uint64_t queued = 0;
    /// Expected wait until the request would have started.
    Duration wait {};
    /// Estimated time from the start of the request that it needs to be served.
    Duration needed {};
    /// Failed attempts of the request that may have run, and those that provably did not.
    std::uint32_t failures = 0;
    std::uint32_t attemptsNotRun = 0;
    /// Retries that the request has taken from the budget, and those that the budget has left.
    std::uint32_t consumedRetries = 0;
    double remainingRetries = 0;
    RequestRank rank {};
    /// Rank of the more costly request in whose favour this one was refused while it waited.
    std::optional<RequestRank> displacedBy {};
};

struct Refuse {
    RequestId request;
    RefusalReason reason;
    ExecutionOutcome outcome;
    /// Delay after which the caller may retry, with random jitter. Zero if it should not retry.
    Duration retryAfter;
    RefusalInputs inputs {};
};

}
