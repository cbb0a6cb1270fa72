#pragma once

/// What an instance knows about the quota of one customer, whether it owns it or not.

#include "Quota.h"
#include "QuotaBucket.h"
#include "QuotaCounts.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

struct QuotaAccount {
    struct Use {
        TimePoint at {};
        std::int64_t amount = 0;
    };
    /// An amount that a caller was told to come back for.
    struct Promise {
        TimePoint until {};
        std::int64_t amount = 0;
    };
    /// A question that waits for a loan.
    struct Waiting {
        std::uint64_t id = 0;
        /// Empty for a request of this instance itself.
        std::string instance;
        std::int64_t amount = 0;
    };
    /// Loan requests to the owners in the other zones, one after the other.
    struct LoanRound {
        std::uint64_t id = 0;
        std::string lender;
        TimePoint endsAt {};
        std::vector<std::string> remainingZones;
    };

    Quota quota;
    /// Owner in this instance's zone.
    std::string owner;
    /// The zone's share, if this instance is the owner.
    QuotaBucket bucket;
    /// This instance's own share, while it is isolated.
    QuotaBucket isolatedBucket;
    /// What the own zone has used recently, oldest first.
    std::deque<Use> recentUses;
    std::vector<Promise> promises;
    std::deque<Waiting> waiting;
    std::optional<LoanRound> loanRound;
    /// The other zones had nothing to lend until a moment ago.
    TimePoint noLoansUntil {};
    QuotaCounts counts;
};

}
