#include "RetryRules.h"

#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr std::uint32_t maxFailures = 4;

/// A retry that waits longer than this for capacity is taken from the budget again, because the budget limits the calls
/// that engines get within a period of time.
constexpr Duration consumedRetryLifetime = std::chrono::seconds(2);

/// What the attempts of a request allow, apart from the budget.
struct AttemptCounts {
    bool mayHaveRun;
    std::uint32_t attemptsNotRun;
    std::uint32_t failures;
    std::int64_t failedDecodes;
};

auto allowsRetry(const RequestKind& kind, const AttemptCounts& counts) -> bool
{
    if (counts.mayHaveRun && !kind.repeatable)
        return false;
    return counts.attemptsNotRun <= maxAttemptsNotRun && counts.failures <= maxFailures && counts.failedDecodes < kind.maxAttempts;
}

/// @return how many of the calls need a retry from the budget.
auto repeatedCalls(std::uint32_t calls, bool hadPrefillResult) -> std::uint32_t
{
    const std::uint32_t firstCalls = hadPrefillResult ? 2 : 1;
    return calls > firstCalls ? calls - firstCalls : 0;
}

auto missingRetries(std::uint32_t needed, std::uint32_t consumed) -> std::uint32_t
{
    return needed > consumed ? needed - consumed : 0;
}

/// @return the largest number of retries that the budget can have.
auto retryCapacity(const ShardState& state) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::clamp(state.retryBudget.capacity(), 0.0, static_cast<double>(maxCount)));
}

struct NeededRetries {
    /// All that the calls of the request need.
    std::uint32_t needed;
    /// Those that it has not taken yet.
    std::uint32_t missing;
    /// The same when the retries that it has taken have expired.
    std::uint32_t missingAfterwards;
};

/// @param calls calls of the next attempt.
auto retriesFor(const ShardState& state, const ActiveRequest& request, std::uint32_t calls) -> NeededRetries
{
    // Further calls are not counted, so that each needs a retry.
    if (request.engineCalls == maxCount)
        return { maxCount, calls, calls };
    // Only a prefill of its own adds a second call to an attempt.
    const auto hasPrefillResult = request.hadPrefillResult || calls > 1;
    const auto needed = repeatedCalls(request.engineCalls + calls, hasPrefillResult);
    const auto missing = missingRetries(needed, request.consumedRetries);
    const auto used = repeatedCalls(request.engineCalls, request.hadPrefillResult);
    const auto missingAgain = missingRetries(needed, std::min<std::uint32_t>(request.consumedRetries, used));
    // The budget can never have more than its capacity at once.
    return { needed, missing, std::max(missing, std::min(missingAgain, retryCapacity(state))) };
}

/// @param calls calls of the next attempt.
/// @return the retries that it takes from the budget now.
auto missingNow(const DecisionContext& context, const ActiveRequest& request, std::uint32_t calls) -> std::uint32_t
{
    const auto retries = retriesFor(context.state, request, calls);
    return context.now - request.retryConsumedAt > consumedRetryLifetime ? retries.missingAfterwards : retries.missing;
}

/// @return the fewest calls that an attempt makes.
auto minCalls(const ShardState& state) -> std::uint32_t
{
    return state.settings.decodeMayPrefill ? 1 : 2;
}

}

/// A rejected attempt costs the engines nothing, unless the policy counts rejections. An attempt that did
/// not reach an engine never counts. An expired result cost a prefill and does.
auto isCountedCall(const RetryPolicy& policy, FailureKind failure) -> bool
{
    if (policy.countsRejections)
        return failure != FailureKind::NotConnected && failure != FailureKind::Paused && failure != FailureKind::OtherVersion;
    return !provablyNotRun(failure) || failure == FailureKind::KvExpired;
}

auto provablyNotRun(FailureKind failure) -> bool
{
    switch (failure) {
    case FailureKind::Busy:
    case FailureKind::NotConnected:
    case FailureKind::KvExpired:
    case FailureKind::Leaving:
    case FailureKind::Paused:
    case FailureKind::OtherVersion:
        return true;
    case FailureKind::ConnectionLost:
    case FailureKind::TimedOut:
    case FailureKind::ServerError:
        return false;
    }
    return false;
}

auto allowsRetryOfRunning(const ShardState& state, const ActiveRequest& request, bool isDecoding) -> bool
{
    return allowsRetry(kindOf(state, request), { request.mayHaveRun || isDecoding, request.attemptsNotRun, request.failures + 1U, request.failedDecodes + (isDecoding ? 1 : 0) });
}

auto mayRetry(DecisionContext& context, ActiveRequest& request, FailureKind failure) -> bool
{
    if (!allowsRetry(kindOf(context.state, request), { request.mayHaveRun, request.attemptsNotRun, request.failures, request.failedDecodes }))
        return false;
    if (!isCountedCall(context.state.settings.retry, failure))
        return true;
    if (!context.state.retryBudget.tryConsume())
        return false;
    incrementSaturating(request.consumedRetries);
    request.retryConsumedAt = context.now;
    return true;
}

auto isInterrupted(const ActiveRequest& request) -> bool
{
    return request.mayHaveRun || request.subQueue == SubQueue::Resume;
}

auto lacksRetry(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return isInterrupted(request) && context.state.retryBudget.remaining() < missingNow(context, request, minCalls(context.state));
}

auto needsRetry(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return missingNow(context, request, minCalls(context.state)) > 0;
}

auto retryWaitOf(const ShardState& state, const ActiveRequest& request) -> RetryWait
{
    const auto retries = retriesFor(state, request, minCalls(state));
    return { retries.missing, request.retryConsumedAt + consumedRetryLifetime, retries.missingAfterwards };
}

auto collectRetries(DecisionContext& context, ActiveRequest& request) -> void
{
    auto& budget = context.state.retryBudget;
    const auto capacity = retryCapacity(context.state);
    const auto missing = missingNow(context, request, minCalls(context.state));
    if (!capacity || missing <= capacity || budget.remaining() < capacity || !budget.tryConsume(capacity))
        return;
    request.consumedRetries = static_cast<std::uint8_t>(std::min<std::uint32_t>(request.consumedRetries + capacity, maxCount));
    request.retryConsumedAt = context.now;
    context.state.retryWaits.remove(request.arrival.request);
    context.state.retryWaits.add(request.arrival.request, retryWaitOf(context.state, request));
}

auto neverGetsRetry(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    const auto& settings = context.state.settings;
    // The capacity of a shared budget is not known yet.
    if (settings.retry.isShared && !settings.instanceCount)
        return false;
    const auto capacity = retryCapacity(context.state);
    return (!capacity || request.engineCalls == maxCount) && missingNow(context, request, minCalls(context.state)) > capacity;
}

auto waitsForRetry(const DecisionContext& context, const ActiveRequest& request, FailureKind failure) -> bool
{
    const auto mayWait = request.leftSilentEngine || (provablyNotRun(failure) && isInterrupted(request));
    return mayWait && !neverGetsRetry(context, request)
        && allowsRetry(kindOf(context.state, request), { request.mayHaveRun, request.attemptsNotRun, request.failures, request.failedDecodes });
}

auto tryConsumeRetries(DecisionContext& context, ActiveRequest& request, std::uint32_t calls) -> bool
{
    const auto missing = missingNow(context, request, calls);
    if (!missing)
        return true;
    if (!context.state.retryBudget.tryConsume(missing))
        return false;
    request.retryConsumedAt = context.now;
    request.consumedRetries = static_cast<std::uint8_t>(std::min<std::uint32_t>(retriesFor(context.state, request, calls).needed, maxCount));
    return true;
}

}
