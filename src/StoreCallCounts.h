#pragma once

/// How the calls to a store have ended since the start.

#include <cstdint>

namespace jayhold {

struct StoreCallCounts {
    std::uint64_t answered = 0;
    /// Without an answer, or with one that says that the store failed.
    std::uint64_t failed = 0;
    /// Ended by the instance itself.
    std::uint64_t cancelledByCaller = 0;
    /// Not sent, because the store failed shortly before.
    std::uint64_t suppressedByBackOff = 0;
    /// Not sent, because the budget of calls was used up.
    std::uint64_t overBudget = 0;
};

}
