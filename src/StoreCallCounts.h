#pragma once

/// Numbers of calls to a store since the start, by result.

#include <cstdint>

namespace jayhold {

struct StoreCallCounts {
    std::uint64_t answered = 0;
    /// No response, or a response that reports a failure of the store.
    std::uint64_t failed = 0;
    /// Cancelled by this instance.
    std::uint64_t cancelledByCaller = 0;
    /// Not sent, because of the back-off after an earlier failure.
    std::uint64_t suppressedByBackOff = 0;
    /// Not sent, because the call rate limit was reached.
    std::uint64_t overBudget = 0;
};

}
