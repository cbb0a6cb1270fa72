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

/// Maximum time for which a call waits for the rate limiter before it is rejected.
constexpr auto maxRateLimitWait = std::chrono::milliseconds(500);

/// A call that was not sent has had no effect; after any other failure this is unknown.
auto storeErrorOf(const HttpError& error, Duration retryAfter) -> StoreError
{
    const auto kind = error.kind == HttpErrorKind::NotConnected ? StoreErrorKind::Unavailable : StoreErrorKind::OutcomeUnknown;
    return { kind, std::string(name(error.kind)) + ": " + error.detail, retryAfter };
}

}

auto sharedStoreSettings(HttpEndpoint endpoint, double totalCallsPerSecond, std::uint64_t seed) -> StoreConnectionSettings
{
    // The largest existing site has 65 instances. One instance needs about two calls a second.
    constexpr double maxInstances = 100;
    // A store responds within milliseconds, and some tens of times slower when it is degraded.
    constexpr Duration timeout = std::chrono::seconds(1);
    // Backend servers are listed again within two seconds after the store has recovered, and must be
    // detected then.
    constexpr Duration maxBackOff = std::chrono::milliseconds(600);
    return { .endpoints = { std::move(endpoint) }, .timeout = timeout, .callsPerSecond = totalCallsPerSecond / maxInstances, .maxBackOff = maxBackOff, .seed = seed };
}

auto readStoredObject(const StoreResult<HttpResponse>& response, const std::function<StoreResult<StoredObject>(const HttpResponse&)>& parse) -> StoreResult<StoredObject>
{
    if (response.has_error())
        return response.error();
    if (response->status == statusNotFound)
        return StoredObject {};
    if (response->status != statusOk)
        return malformedAnswer("status " + std::to_string(response->status));
    return parse(*response);
}

struct StoreConnection::State {
    explicit State(StoreConnectionSettings connectionSettings)
        : settings(std::move(connectionSettings))
        , random(settings.seed)
    {
        rateLimiter.callsPerSecond = settings.callsPerSecond;
        rateLimiter.refilledAt = monotonicNow();
        backOff.probeTimeout = settings.timeout;
        backOff.maxDelay = settings.maxBackOff;
    }

    const StoreConnectionSettings settings;
    mutable std::mutex lock;
    CallRateLimiter rateLimiter;
    BackOff backOff;
    std::size_t currentEndpoint = 0;
    StoreCallCounts counts;
    std::mt19937_64 random;

    /// @return the time to wait before the call, or the reason why it may not be made.
    auto admit() -> StoreResult<Duration>
    {
        const std::lock_guard guard(lock);
        const auto now = monotonicNow();
        if (settings.endpoints.empty())
            return StoreError { StoreErrorKind::Unavailable, "no platform address is configured" };
        if (!admitCall(backOff, now)) {
            ++counts.suppressedByBackOff;
            return StoreError { StoreErrorKind::Unavailable, "an earlier call to the platform failed; back-off delays the next attempt", timeUntilRetry(backOff, now) };
        }
        const auto wait = reserveCall(rateLimiter, now, maxRateLimitWait);
        if (wait < Duration::zero()) {
            ++counts.overBudget;
            return StoreError { StoreErrorKind::OverBudget, "the rate limit of calls to the platform is exceeded" };
        }
        return wait;
    }

    auto endpoint() const -> HttpEndpoint
    {
        const std::lock_guard guard(lock);
        return settings.endpoints[currentEndpoint % settings.endpoints.size()];
    }

    auto handleSuccess() -> void
    {
        const std::lock_guard guard(lock);
        recordSuccess(backOff);
        ++counts.answered;
    }

    auto handleCancelled() -> void
    {
        const std::lock_guard guard(lock);
        ++counts.cancelledByCaller;
    }

    auto handleFailure() -> Duration
    {
        const std::lock_guard guard(lock);
        const auto now = monotonicNow();
        recordFailure(backOff, now, random());
        ++counts.failed;
        ++currentEndpoint;
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
    const auto delay = m_state->admit();
    if (delay.has_error())
        co_return delay.error();
    if (*delay > Duration::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, *delay);
        boost::system::error_code ignored;
        co_await timer.async_wait(awaitInto(ignored));
    }
    auto response = co_await client.request(m_state->endpoint(), std::move(request), m_state->settings.timeout + wait);
    // A cancelled call says nothing about the state of the store.
    if (response.has_error() && response.error().kind == HttpErrorKind::Cancelled) {
        m_state->handleCancelled();
        co_return StoreError { StoreErrorKind::Cancelled, response.error().detail };
    }
    if (response.has_error())
        co_return storeErrorOf(response.error(), m_state->handleFailure());
    if (response->status == statusTooManyRequests || response->status >= statusServerError) {
        // The protocol does not guarantee that a failed call had no effect.
        const auto kind = response->status == statusTooManyRequests ? StoreErrorKind::Unavailable : StoreErrorKind::OutcomeUnknown;
        co_return StoreError { kind, "status " + std::to_string(response->status), m_state->handleFailure() };
    }
    m_state->handleSuccess();
    co_return std::move(*response);
}

}
