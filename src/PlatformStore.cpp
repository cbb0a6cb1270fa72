#include "PlatformStore.h"

#include "AwaitToken.h"
#include "BackOff.h"
#include "CallBudget.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <mutex>
#include <random>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusNotModified = 304;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusServerError = 500;

/// Longest time that a call waits for the budget before it is refused.
constexpr auto longestBudgetWait = std::chrono::milliseconds(500);

auto malformed(std::string detail) -> StoreError
{
    return { StoreErrorKind::MalformedAnswer, std::move(detail) };
}

auto parseObject(const HttpResponse& response) -> StoreResult<StoredObject>
{
    boost::system::error_code code;
    auto document = json::parse(response.body, code);
    auto* object = code ? nullptr : document.if_object();
    auto* revision = object ? object->if_contains("revision") : nullptr;
    if (!revision || !revision->is_int64())
        return malformed("the platform's answer has no revision");
    StoredObject stored { revision->get_int64(), nullptr };
    if (auto* value = object->if_contains("value"))
        stored.value = std::move(*value);
    return stored;
}

auto objectTarget(std::string_view name) -> std::string
{
    return "/v1/objects/" + std::string(name);
}

/// A call that was not sent can't have taken effect; of any other failure this is not known.
auto storeErrorOf(const HttpError& error, Duration retryAfter) -> StoreError
{
    const auto kind = error.kind == HttpErrorKind::NotConnected ? StoreErrorKind::Unavailable : StoreErrorKind::OutcomeUnknown;
    return { kind, std::string(name(error.kind)) + ": " + error.detail, retryAfter };
}

}

struct PlatformStore::State {
    explicit State(const ClusterSettings& settings)
        : endpoints(settings.platform)
        , timeout(settings.platformTimeout)
        , random(settings.seed ^ std::hash<std::string>()(settings.instance))
    {
        budget.callsPerSecond = settings.platformCallsPerSecond;
        budget.refilledAt = monotonicNow();
        backOff.probeTime = settings.platformTimeout;
    }

    const std::vector<HttpEndpoint> endpoints;
    const Duration timeout;
    mutable std::mutex lock;
    CallBudget budget;
    BackOff backOff;
    std::size_t current = 0;
    std::mt19937_64 random;

    /// @return the time to wait before the call, or the reason why it may not be made.
    auto admit() -> StoreResult<Duration>
    {
        const std::lock_guard guard(lock);
        const auto now = monotonicNow();
        if (endpoints.empty())
            return StoreError { StoreErrorKind::Unavailable, "no platform address is set" };
        if (!admitCall(backOff, now))
            return StoreError { StoreErrorKind::Unavailable, "the platform failed before and is not tried yet", remainingTime(backOff, now) };
        const auto wait = takeCall(budget, now, longestBudgetWait);
        if (wait < Duration::zero())
            return StoreError { StoreErrorKind::OverBudget, "the budget of calls to the platform is used up" };
        return wait;
    }

    auto endpoint() const -> HttpEndpoint
    {
        const std::lock_guard guard(lock);
        return endpoints[current % endpoints.size()];
    }

    auto succeeded() -> void
    {
        const std::lock_guard guard(lock);
        recordSuccess(backOff);
    }

    auto failed() -> Duration
    {
        const std::lock_guard guard(lock);
        const auto now = monotonicNow();
        recordFailure(backOff, now, random());
        ++current;
        return remainingTime(backOff, now);
    }
};

PlatformStore::PlatformStore(const ClusterSettings& settings)
    : m_state(std::make_unique<State>(settings))
{
}

PlatformStore::~PlatformStore() = default;

auto PlatformStore::retryAfter() const -> Duration
{
    const std::lock_guard guard(m_state->lock);
    return remainingTime(m_state->backOff, monotonicNow());
}

auto PlatformStore::call(HttpClient& client, HttpRequest request, Duration timeout) -> asio::awaitable<StoreResult<HttpResponse>>
{
    const auto wait = m_state->admit();
    if (wait.has_error())
        co_return wait.error();
    if (*wait > Duration::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, *wait);
        boost::system::error_code ignored;
        co_await timer.async_wait(awaitInto(ignored));
    }
    const auto answer = co_await client.request(m_state->endpoint(), std::move(request), timeout);
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

auto PlatformStore::read(HttpClient& client, std::string name) -> asio::awaitable<StoreResult<StoredObject>>
{
    HttpRequest request { "GET", objectTarget(name), {}, {} };
    const auto answer = co_await call(client, std::move(request), m_state->timeout);
    if (answer.has_error())
        co_return answer.error();
    if (answer->status == statusNotFound)
        co_return StoredObject {};
    if (answer->status != statusOk)
        co_return malformed("status " + std::to_string(answer->status));
    co_return parseObject(*answer);
}

auto PlatformStore::watch(HttpClient& client, std::string name, std::int64_t afterRevision, Duration wait) -> asio::awaitable<StoreResult<std::optional<StoredObject>>>
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto target = objectTarget(name) + "?after_revision=" + std::to_string(afterRevision) + "&wait_ms=" + std::to_string(waitMs);
    HttpRequest request { "GET", std::move(target), {}, {} };
    const auto answer = co_await call(client, std::move(request), wait + m_state->timeout);
    if (answer.has_error())
        co_return answer.error();
    if (answer->status == statusNotModified || answer->status == statusNotFound)
        co_return std::optional<StoredObject> {};
    if (answer->status != statusOk)
        co_return malformed("status " + std::to_string(answer->status));
    auto object = parseObject(*answer);
    if (object.has_error())
        co_return object.error();
    if (object->revision <= afterRevision)
        co_return std::optional<StoredObject> {};
    co_return std::optional<StoredObject>(std::move(*object));
}

auto PlatformStore::update(HttpClient& client, std::string name, json::value value, std::int64_t expectedRevision) -> asio::awaitable<StoreResult<UpdateOutcome>>
{
    HttpRequest request { "PUT", objectTarget(name), {}, json::serialize(value) };
    request.headers.push_back({ "Content-Type", "application/json" });
    request.headers.push_back({ "If-Match", "\"" + std::to_string(expectedRevision) + "\"" });
    request.isIdempotent = true;
    const auto answer = co_await call(client, std::move(request), m_state->timeout);
    if (answer.has_error())
        co_return answer.error();
    if (answer->status != statusOk && answer->status != statusCreated && answer->status != statusConflict)
        co_return malformed("status " + std::to_string(answer->status));
    auto object = parseObject(*answer);
    if (object.has_error())
        co_return object.error();
    if (answer->status == statusConflict)
        co_return UpdateOutcome(UpdateConflict { std::move(*object) });
    co_return UpdateOutcome(UpdateApplied { object->revision });
}

auto PlatformStore::instances(HttpClient& client) -> asio::awaitable<StoreResult<InstanceList>>
{
    HttpRequest request { "GET", "/v1/instances", {}, {} };
    const auto answer = co_await call(client, std::move(request), m_state->timeout);
    if (answer.has_error())
        co_return answer.error();
    boost::system::error_code code;
    const auto document = json::parse(answer->body, code);
    auto list = code ? std::nullopt : instanceListFromJson(document);
    if (!list)
        co_return malformed("the instance list can't be read");
    co_return std::move(*list);
}

}
