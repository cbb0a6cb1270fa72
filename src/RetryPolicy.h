#pragma once

/// Retry budget of a service: a token bucket that limits attempts beyond the first.

#include "RetryBudget.h"

namespace jayhold {

struct RetryPolicy {
    /// Tokens that each new request adds to the budget.
    double ratio = modelRetryLimits.ratio;
    /// Capacity of the token bucket: the largest burst of retries.
    double burst = modelRetryLimits.capacity;
    /// Whether all entry instances share the burst, so that each gets an equal part of it. An instance whose
    /// part is below one retry sends none.
    bool isShared = false;
    /// Whether an attempt that a backend server rejected counts as a retry.
    bool countsRejections = false;

    auto operator==(const RetryPolicy&) const -> bool = default;
};

/// Fraction of a shared burst that is divided among the known instances. The rest covers the instances that
/// some others do not know, because they are new or cut off, and retries that reach a backend server later
/// than they were taken from the budget.
inline constexpr double dividedBurstFraction = 0.5;

/// @param instances number of known live entry instances, or 0 if it is not known yet.
/// @return the limits of one instance's retry budget.
inline auto budgetLimits(const RetryPolicy& policy, std::uint32_t instances) -> RetryBudgetLimits
{
    if (!policy.isShared)
        return { .ratio = policy.ratio, .capacity = policy.burst };
    return { .ratio = policy.ratio, .capacity = instances > 0 ? policy.burst * dividedBurstFraction / instances : 0 };
}

/// A shared budget starts empty. If it started full, each restart of an instance would add its part of the
/// burst once more.
/// @param instances as for budgetLimits().
/// @return the budget of an instance that has just started.
inline auto makeRetryBudget(const RetryPolicy& policy, std::uint32_t instances) -> RetryBudget
{
    return { budgetLimits(policy, instances), policy.isShared ? 0 : policy.burst };
}

}
