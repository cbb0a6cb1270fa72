#include "RetryRules.h"

#include "RequestLifecycle.h"

namespace jayhold {

namespace {

constexpr std::uint32_t maxFailures = 4;

/// Whether a retry after the failure needs nothing from the retry budget. A rejected attempt costs the
/// engines nothing, unless the policy counts rejections. An attempt that did not reach an engine is
/// always exempt. An expired result cost a prefill and is not.
auto isBudgetExempt(const RetryPolicy& policy, FailureKind failure) -> bool
{
    if (policy.countsRejections)
        return failure == FailureKind::NotConnected;
    return provablyNotRun(failure) && failure != FailureKind::KvExpired;
}

}

auto provablyNotRun(FailureKind failure) -> bool
{
    switch (failure) {
    case FailureKind::Busy:
    case FailureKind::NotConnected:
    case FailureKind::KvExpired:
    case FailureKind::Leaving:
        return true;
    case FailureKind::ConnectionLost:
    case FailureKind::TimedOut:
    case FailureKind::ServerError:
        return false;
    }
    return false;
}

auto mayRetry(DecisionContext& context, const ActiveRequest& request, FailureKind failure) -> bool
{
    if (request.mayHaveRun && !kindOf(context.state, request).repeatable)
        return false;
    if (request.attemptsNotRun > maxAttemptsNotRun || request.failures > maxFailures)
        return false;
    if (request.failedDecodes >= kindOf(context.state, request).maxAttempts)
        return false;
    return isBudgetExempt(context.state.settings.retry, failure) || context.state.retryBudget.tryConsume();
}

}
