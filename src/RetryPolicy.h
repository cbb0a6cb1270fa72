#pragma once

/// Retry budget of a service: a token bucket that limits attempts beyond the first.

#include "RetryBudget.h"

namespace jayhold {

struct RetryPolicy {
    /// Tokens that each new request adds to the budget.
    double ratio = modelRetryLimits.ratio;
    /// Capacity of the token bucket: the largest burst of retries.
    double burst = modelRetryLimits.capacity;
    /// Whether all entry instances share the burst, so that each gets an equal part of it.
    bool isShared = false;
    /// Whether an attempt that a backend server rejected counts as a retry.
    bool countsRejections = false;

    auto operator==(const RetryPolicy&) const -> bool = default;
};

/// @param instances number of live entry instances, at least 1.
/// @return the limits of one instance's retry budget.
inline auto budgetLimits(const RetryPolicy& policy, std::uint32_t instances) -> RetryBudgetLimits
{
    return { .ratio = policy.ratio, .capacity = policy.isShared ? policy.burst / instances : policy.burst };
}

}
