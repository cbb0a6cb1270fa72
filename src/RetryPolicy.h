#pragma once

/// How many attempts beyond the first the requests for a service may cause.

#include "RetryBudget.h"

namespace jayhold {

struct RetryPolicy {
    /// Retries that each new request allows for.
    double ratio = modelRetryLimits.ratio;
    /// Retries that may be made at once after a quiet time.
    double burst = modelRetryLimits.capacity;
    /// Whether the burst is one for all entry instances; each then takes an equal part of it.
    bool isShared = false;
    /// Whether an attempt that a backend server turned away counts as a retry.
    bool countsRejections = false;

    auto operator==(const RetryPolicy&) const -> bool = default;
};

/// @param instances live entry instances, at least 1.
/// @return the limits of one instance's budget.
inline auto budgetLimits(const RetryPolicy& policy, std::uint32_t instances) -> RetryBudgetLimits
{
    return { .ratio = policy.ratio, .capacity = policy.isShared ? policy.burst / instances : policy.burst };
}

}
