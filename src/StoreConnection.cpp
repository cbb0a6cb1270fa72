#include "StoreConnection.h"

#include "AwaitToken.h"
#include "BackOff.h"
#include "CallRateLimiter.h"
#include "HttpStatus.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <mutex>
#include <random>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Longest time that a call waits for the budget before it is refused.
constexpr auto longestBudgetWait = std::chrono::milliseconds(500);

/// A call that was not sent can't have taken effect; of any other failure this is not known.
auto storeErrorOf(const HttpError& error, Duration retryAfter) -> StoreError
{
    const auto kind = error.kind == HttpErrorKind::NotConnected ? StoreErrorKind::Unavailable : StoreErrorKind::OutcomeUnknown;
    return { kind, std::string(name(error.kind)) + ": " + error.detail, retryAfter };
}

}

auto sharedStoreSettings(HttpEndpoint endpoint, double callsPerSecondOfAll, std::uint64_t seed) -> StoreConnectionSettings
{
    // More than the instances of the largest site of today, which is 65; one needs about two a second.
    constexpr double mostInstances = 100;
    // A store answers in milliseconds, and some tens of times slower on bad days.
    constexpr Duration timeout = std::chrono::seconds(1);
    // Backend servers are listed again within two seconds of the store's return, and must be seen then.
    constexpr Duration maxBackOff = std::chrono::milliseconds(600);
    return { .endpoints = { std::move(endpoint) }, .timeout = timeout, .callsPerSecond = callsPerSecondOfAll / mostInstances, .maxBackOff = maxBackOff, .seed = seed };
}

auto readStoredObject(const StoreResult<HttpResponse>& answer, const std::function<StoreResult<StoredObject>(const HttpResponse&)>& parse) -> StoreResult<StoredObject>
{
    if (answer.has_error())
        return answer.error();
    if (answer->status == statusNotFound)
        return StoredObject {};
    if (answer->status != statusOk)
        return malformedAnswer("status " + std::to_string(answer->status));
    return parse(*answer);
}

struct StoreConnection::State {
    explicit State(StoreConnectionSettings connectionSettings)
        : settings(std::move(connectionSettings))
        , random(settings.seed)
    {
        budget.callsPerSecond = settings.callsPerSecond;
        budget.refilledAt = monotonicNow();
        backOff.probeTimeout = settings.timeout;
        backOff.maxDelay = settings.maxBackOff;
    }

    const StoreConnectionSettings settings;
    mutable std::mutex lock;
    CallRateLimiter budget;
    BackOff backOff;
    std::size_t current = 0;
    StoreCallCounts counts;
    std::mt19937_64 random;

    /// @return the time to wait before the call, or the reason why it may not be made.
    auto admit() -> StoreResult<Duration>
    {
        const std::lock_guard guard(lock);
        const auto now = monotonicNow();
        if (settings.endpoints.empty())
            return StoreError { StoreErrorKind::Unavailable, "no platform address is set" };
        if (!admitCall(backOff, now)) {
            ++counts.suppressedByBackOff;
            return StoreError { StoreErrorKind::Unavailable, "the platform failed before and is not tried yet", timeUntilRetry(backOff, now) };
        }
        const auto wait = reserveCall(budget, now, longestBudgetWait);
        if (wait < Duration::zero()) {
            ++counts.overBudget;
            return StoreError { StoreErrorKind::OverBudget, "the budget of calls to the platform is used up" };
        }
        return wait;
    }

    auto endpoint() const -> HttpEndpoint
    {
        const std::lock_guard guard(lock);
        return settings.endpoints[current % settings.endpoints.size()];
    }

    auto succeeded() -> void
    {
        const std::lock_guard guard(lock);
        recordSuccess(backOff);
        ++counts.answered;
    }

    auto gaveUp() -> void
    {
        const std::lock_guard guard(lock);
        ++counts.cancelledByCaller;
    }

    auto failed() -> Duration
    {
        const std::lock_guard guard(lock);
        const auto now = monotonicNow();
        recordFailure(backOff, now, random());
        ++counts.failed;
        ++current;
        return timeUntilRetry(backOff, now);
    }
};

StoreConnection::StoreConnection(StoreConnectionSettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

StoreConnection::~StoreConnection() = default;

auto StoreConnection::counts() const -> StoreCallCounts
{
    const std::lock_guard guard(m_state->lock);
    return m_state->counts;
}

auto StoreConnection::retryAfter() const -> Duration
{
    const std::lock_guard guard(m_state->lock);
    return timeUntilRetry(m_state->backOff, monotonicNow());
}

auto StoreConnection::call(HttpClient& client, HttpRequest request, Duration wait) -> asio::awaitable<StoreResult<HttpResponse>>
{
    const auto pause = m_state->admit();
    if (pause.has_error())
        co_return pause.error();
    if (*pause > Duration::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, *pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(awaitInto(ignored));
    }
    const auto answer = co_await client.request(m_state->endpoint(), std::move(request), m_state->settings.timeout + wait);
    // A call that was given up says nothing about the store.
    if (answer.has_error() && answer.error().kind == HttpErrorKind::Cancelled) {
        m_state->gaveUp();
        co_return StoreError { StoreErrorKind::Cancelled, answer.error().detail };
    }
    if (answer.has_error())
        co_return storeErrorOf(answer.error(), m_state->failed());
    if (answer->status == statusTooManyRequests || answer->status >= statusServerError) {
        // The protocol does not say that a failed call had no effect.
        const auto kind = answer->status == statusTooManyRequests ? StoreErrorKind::Unavailable : StoreErrorKind::OutcomeUnknown;
        co_return StoreError { kind, "status " + std::to_string(answer->status), m_state->failed() };
    }
    m_state->succeeded();
    co_return *answer;
}

}
