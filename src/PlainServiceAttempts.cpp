#include "PlainService.h"

#include "AwaitToken.h"
#include "CrashHistory.h"
#include "ExceptionText.h"
#include "Pause.h"
#include "PlainReplacement.h"
#include "RepeatedCheck.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// A server that has not answered within the remaining time divided by this number is replaced if another
/// one can take the call.
constexpr int silenceTimeoutDivisor = 2;
constexpr Duration silenceCheckInterval = std::chrono::milliseconds(50);
constexpr Duration minAttemptTimeout = std::chrono::milliseconds(1);

/// An estimate of a call's duration for the decision whether it may start during a drain. A call that may not be
/// repeated must not run at the end, so its estimate is the more careful one.
constexpr double repeatableQuantile = 0.95;
constexpr int unrepeatableSafetyFactor = 2;
/// A call that had as much time as this share of recent calls took should have ended at a healthy server.
constexpr double usualQuantile = 0.9;

auto remainingTime(const PlainCallInfo& call) -> Duration
{
    return std::max<Duration>(call.deadline - monotonicNow(), minAttemptTimeout);
}

}

auto PlainService::canEndBeforeExit(const PlainCallInfo& call) const -> bool
{
    const auto endsAt = requestsEndAt(m_context);
    // A caller that allows less time gets its answer before the end in any case.
    if (endsAt == TimePoint::max() || call.deadline < endsAt)
        return true;
    const std::lock_guard guard(m_lock);
    const auto durations = m_durations.find(call.kind.name);
    const auto quantile = call.kind.repeatable ? repeatableQuantile : 1.0;
    const auto expected = durations == m_durations.end() ? std::nullopt : durations->second.quantile(quantile);
    if (!expected)
        return false;
    return monotonicNow() + *expected * (call.kind.repeatable ? 1 : unrepeatableSafetyFactor) <= endsAt;
}

auto PlainService::recordDuration(const PlainCallInfo& call, Duration duration) -> void
{
    const std::lock_guard guard(m_lock);
    m_durations[call.kind.name].record(duration);
}

auto PlainService::runCall(HttpClient& client, const PlainCallInfo& call, bool isRepeatable, CallState& state) -> asio::awaitable<PlainAttempt>
{
    auto startedAt = monotonicNow();
    PlainAttempt last { .isNotRun = true, .reachedBackend = false, .detail = "no backend server is available" };
    while (true) {
        if (state.executions == 0 && !canEndBeforeExit(call)) {
            last.isRefusedByDrain = true;
            break;
        }
        const auto backend = co_await acquireFor(call, state, last);
        if (!backend)
            break;
        // The wait for a slot says nothing about the duration of a call.
        if (state.triedBackends.empty() || state.isRejectedByAll)
            startedAt = monotonicNow();
        state.isRejectedByAll = false;
        state.triedBackends.push_back(backend->id);
        recordDecision(call, "request_placed", { { "backend", backend->id }, { "attempt", state.triedBackends.size() }, { "timeout_ms", remainingTime(call).count() / 1'000 } });
        last = co_await attemptOn(client, *backend, call, isRepeatable, state);
        if (state.isSuspect)
            releaseSuspect(backend->id);
        state.executions += !last.isNotRun;
        if (isFinal(last) || state.isCallerDisconnected)
            break;
        recordFailedAttempt(call, state, backend->id, last);
        if (!awaitsSlotAgain(call, state, last) && !mayTryAgain(call, state, last, isRepeatable))
            break;
        // The peers' reports of the crash may show that the call is its cause.
        if (last.hasCrashed)
            co_await pause(crashReportWait);
    }
    last.isNotRun = state.executions == 0;
    // No server took the call, so the trial is still to be made.
    if (state.isTrial && last.isNotRun)
        allowTrial(call.signature);
    if (!last.isNotRun && !state.isCallerDisconnected)
        recordDuration(call, monotonicNow() - startedAt);
    co_return last;
}

auto PlainService::recordFailedAttempt(const PlainCallInfo& call, const CallState& state, const std::string& backend, const PlainAttempt& attempt) -> void
{
    m_metrics->failedAttempts.fetch_add(1, std::memory_order_relaxed);
    const auto budget = retryBudget();
    record(LogLevel::Info, call, "attempt_failed", { { "backend", backend }, { "attempt", state.triedBackends.size() }, { "detail", attempt.detail }, { "ran", attempt.isNotRun ? "no" : "unknown" }, { "retries_left", budget.remaining() }, { "retry_capacity", budget.capacity() } });
}

auto PlainService::mayTryAgain(const PlainCallInfo& call, const CallState& state, const PlainAttempt& last, bool isRepeatable) -> bool
{
    if (state.isCallerDisconnected || monotonicNow() >= call.deadline || state.excludedBackends().size() >= maxBackendsPerCall)
        return false;
    if (state.executions > 0 && (!isRepeatable || state.executions >= call.kind.maxAttempts))
        return false;
    // An attempt that reached no backend server caused no load, so it takes nothing from the retry budget.
    return !last.reachedBackend || tryConsumeRetry();
}

auto PlainService::sendCall(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call) -> asio::awaitable<HttpResult<HttpResponse>>
{
    co_await asio::this_coro::throw_if_cancelled(false);
    auto result = co_await m_context.backendProtocol.plainCall(client, backend, call, remainingTime(call));
    co_return result;
}

auto PlainService::replaceSilentAttempt(HttpClient& client, const asio::any_io_executor& executor, const BackendServer& silent, const PlainCallInfo& call, CallState& state) -> bool
{
    if (state.isCallerDisconnected || state.triedBackends.size() >= maxBackendsPerCall || state.executions + 1 >= call.kind.maxAttempts)
        return false;
    // A second server would be at risk too.
    if (state.isSuspect)
        return false;
    if (state.replacement && !state.replacement->result)
        return true;
    std::optional<BackendServer> server;
    {
        const std::lock_guard guard(m_lock);
        // The call may have become a suspect while its server was silent.
        if (isSuspectLocked(call))
            return false;
        if (m_budget.remaining() < 1)
            return true;
        server = m_balancer.acquire(monotonicNow(), state.triedBackends, meanCallTimeLocked(call));
        if (!server)
            return true;
        m_budget.tryConsume();
    }
    record(LogLevel::Info, call, "attempt_silent", { { "backend", silent.id }, { "replacement", server->id }, { "left_ms", remainingTime(call).count() / 1'000 } });
    state.triedBackends.push_back(server->id);
    recordDecision(call, "request_placed", { { "backend", server->id }, { "attempt", state.triedBackends.size() }, { "timeout_ms", remainingTime(call).count() / 1'000 } });
    state.replacement = std::make_shared<PlainReplacement>(executor, std::move(*server));
    asio::co_spawn(executor, runReplacement(client, call, state, state.replacement), asio::detached);
    return true;
}

auto PlainService::runReplacement(HttpClient& client, const PlainCallInfo& call, CallState& state, std::shared_ptr<PlainReplacement> replacement) -> asio::awaitable<void>
{
    PlainAttempt attempt { .isNotRun = true, .reachedBackend = false, .detail = "not needed any more" };
    // The signal reaches only a call that has begun.
    if (state.isAnswered || state.isCallerDisconnected)
        releaseCancelled(replacement->server.id);
    else
        attempt = co_await callServer(client, replacement->server, call, state, replacement->interrupt);
    state.executions += !attempt.isNotRun;
    if (isFinal(attempt))
        state.interrupt.emit(asio::cancellation_type::terminal);
    else if (!state.isAnswered && !state.isCallerDisconnected)
        recordFailedAttempt(call, state, replacement->server.id, attempt);
    replacement->result = std::move(attempt);
    replacement->ended.cancel();
}

auto PlainService::attemptOn(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call, bool isRepeatable, CallState& state) -> asio::awaitable<PlainAttempt>
{
    const auto executor = co_await asio::this_coro::executor;
    std::optional<RepeatedCheck> silenceCheck;
    if (isRepeatable)
        silenceCheck.emplace(executor, remainingTime(call) / silenceTimeoutDivisor, silenceCheckInterval, [&] { return replaceSilentAttempt(client, executor, backend, call, state); });
    auto attempt = co_await callServer(client, backend, call, state, state.interrupt);
    silenceCheck.reset();
    const auto replacement = state.replacement;
    if (!replacement)
        co_return attempt;
    state.isAnswered = isFinal(attempt);
    if (state.isAnswered)
        replacement->interrupt.emit(asio::cancellation_type::terminal);
    while (!replacement->result) {
        replacement->ended.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code code;
        co_await replacement->ended.async_wait(awaitInto(code));
    }
    state.replacement = nullptr;
    if (state.isAnswered || !isFinal(*replacement->result))
        co_return attempt;
    recordFailedAttempt(call, state, backend.id, attempt);
    co_return std::move(*replacement->result);
}

auto PlainService::callServer(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call, const CallState& state, asio::cancellation_signal& interrupt) -> asio::awaitable<PlainAttempt>
{
    const auto executor = co_await asio::this_coro::executor;
    HttpResult<HttpResponse> result = HttpError { HttpErrorKind::ConnectionLost, {} };
    std::exception_ptr thrown;
    const auto wasAnswering = isAnswering(backend);
    const auto sentAt = monotonicNow();
    try {
        result = co_await asio::co_spawn(executor, sendCall(client, backend, call), asio::bind_cancellation_slot(interrupt.slot(), asio::use_awaitable));
    } catch (...) {
        thrown = std::current_exception();
    }
    PlainAttempt attempt;
    if (thrown)
        attempt = failAttempt(backend, call, thrown);
    else if (result.has_value())
        attempt = attemptFromResponse(backend, call, std::move(*result));
    else
        attempt = attemptFromError(backend, call, result.error(), monotonicNow() - sentAt, state);
    const auto wasReplaced = !thrown && result.has_error() && result.error().kind == HttpErrorKind::Cancelled && !state.isCallerDisconnected;
    recordSpeed(call, backend, monotonicNow() - sentAt, attempt, attempt.hasTimedOut || wasReplaced);
    const auto isLost = !thrown && result.has_error() && result.error().kind == HttpErrorKind::ConnectionLost;
    if (isLost && !state.isCallerDisconnected)
        attempt.hasCrashed = co_await hasCrashed(client, backend, call, wasAnswering);
    m_metrics->backendCalls.fetch_add(attempt.reachedBackend, std::memory_order_relaxed);
    co_return attempt;
}

auto PlainService::hadEnoughTime(const PlainCallInfo& call, Duration duration) const -> bool
{
    const std::lock_guard guard(m_lock);
    const auto durations = m_durations.find(call.kind.name);
    const auto usual = durations == m_durations.end() ? std::nullopt : durations->second.quantile(usualQuantile);
    return !usual || duration >= *usual;
}

auto PlainService::attemptFromError(const BackendServer& backend, const PlainCallInfo& call, const HttpError& error, Duration duration, const CallState& state) -> PlainAttempt
{
    const auto isCancelled = error.kind == HttpErrorKind::Cancelled && (state.isCallerDisconnected || state.isAnswered);
    // A deadline that healthy servers can't meet either says nothing about this one.
    if (isCancelled || (error.kind == HttpErrorKind::TimedOut && !hadEnoughTime(call, duration)))
        releaseCancelled(backend.id);
    else
        release(backend, false);
    const auto isNotSent = error.kind == HttpErrorKind::NotConnected;
    return { .isNotRun = isNotSent, .reachedBackend = !isNotSent, .hasTimedOut = error.kind == HttpErrorKind::TimedOut, .detail = std::string(jayhold::name(error.kind)) + ": " + error.detail };
}

auto PlainService::failAttempt(const BackendServer& backend, const PlainCallInfo& call, const std::exception_ptr& thrown) -> PlainAttempt
{
    release(backend, false);
    const auto detail = exceptionText(thrown);
    record(LogLevel::Error, call, "task_failed", { { "task", "plain call" }, { "detail", detail } });
    return { .detail = "exception: " + detail };
}

auto PlainService::isLiveLocked(const BackendServer& server) const -> bool
{
    return std::ranges::any_of(m_balancer.backends(), [&](const PlainBackend& backend) {
        return backend.server.id == server.id && backend.server.incarnation == server.incarnation && backend.server.state == ReplicaState::Live;
    });
}

auto PlainService::tryConsumeResend(const PlainCallInfo& call, const BackendServer& server) -> bool
{
    {
        const std::lock_guard guard(m_lock);
        if (!call.kind.repeatable || !isLiveLocked(server) || !m_balancer.tryTakeCall(monotonicNow(), server.id) || !m_budget.tryConsume())
            return false;
    }
    m_metrics->resentCalls.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Info, call, "call_resent");
    return true;
}

auto PlainService::attemptFromResponse(const BackendServer& backend, const PlainCallInfo& call, HttpResponse response) -> PlainAttempt
{
    const auto status = response.status;
    const auto responseClass = m_context.backendProtocol.classifyResponse(call, response);
    if (responseClass == ResponseClass::Busy)
        releaseRejected(backend.id);
    else
        release(backend, responseClass == ResponseClass::Final);
    if (responseClass == ResponseClass::Final || responseClass == ResponseClass::Failed)
        recordAnswer(backend, call);
    PlainAttempt attempt { .detail = "status " + std::to_string(status) };
    switch (responseClass) {
    case ResponseClass::Final:
        attempt.isFinal = true;
        attempt.response = std::move(response);
        break;
    case ResponseClass::Failed:
        attempt.response = std::move(response);
        break;
    case ResponseClass::Leaving:
        m_context.reportLeaving(backend.id);
        attempt.isNotRun = true;
        break;
    case ResponseClass::Busy:
        attempt.isRejected = true;
        attempt.isNotRun = true;
        break;
    case ResponseClass::Misdirected:
        attempt.isNotRun = true;
        break;
    case ResponseClass::Unrecognised:
        attempt.detail = "the answer is not the backend server's";
        break;
    }
    return attempt;
}

}
