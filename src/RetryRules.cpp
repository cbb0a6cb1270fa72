#include "RetryRules.h"

#include "RequestLifecycle.h"

namespace jayhold {

namespace {

constexpr std::uint32_t maximumFailures = 4;

/// Work that was turned away cost the engines nothing, unless the policy says otherwise; work that
/// did not reach an engine never does. An expired result cost a prefill.
auto isFree(const RetryPolicy& policy, FailureKind failure) -> bool
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
    if (request.attemptsNotRun > maxAttemptsNotRun || request.failures > maximumFailures)
        return false;
    if (request.failedDecodes >= kindOf(context.state, request).maxAttempts)
        return false;
    return isFree(context.state.settings.retry, failure) || context.state.retryBudget.tryConsume();
}

}
