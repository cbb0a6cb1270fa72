#include "PlainService.h"

#include "JitteredDelay.h"
#include "RepeatedCheck.h"
#include "Sha256.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Includes the backend servers that reject the call.
constexpr std::size_t maxBackendsPerCall = 3;
/// A server that has not answered within the remaining time divided by this number is replaced if another
/// one can take the call.
constexpr int silenceTimeoutDivisor = 2;
constexpr Duration silenceCheckInterval = std::chrono::milliseconds(50);
constexpr Duration minAttemptTimeout = std::chrono::milliseconds(1);

auto remainingTime(const PlainCallInfo& call) -> Duration
{
    return std::max<Duration>(call.deadline - monotonicNow(), minAttemptTimeout);
}
constexpr Duration retryDelay = std::chrono::seconds(1);

auto digestOf(const HttpRequest& request) -> std::string
{
    return sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
}

/// A policy that instances do not share is replaced by the limits for plain calls.
auto plainPolicy(const RetryPolicy& policy) -> RetryPolicy
{
    return policy.isShared ? policy : RetryPolicy { .ratio = plainRetryLimits.ratio, .burst = plainRetryLimits.capacity };
}

auto nextAttemptId(const EntryContext& context) -> std::string
{
    static std::atomic<std::uint64_t> lastAttempt { 0 };
    return context.settings.instance + "/" + context.runId + "/" + std::to_string(++lastAttempt);
}

}

PlainService::PlainService(EntryContext& context, const Service& service, AtMostOnceRecords& records, std::uint32_t instanceCount)
    : m_context(context)
    , m_records(records)
    , m_name(service.name)
    , m_metrics(context.metrics.service(service.name))
    , m_pools(service.pools)
    , m_retry(service.retry)
    , m_instanceCount(instanceCount)
    , m_budget(makeRetryBudget(plainPolicy(service.retry), instanceCount))
{
}

auto PlainService::updateConfiguration(const Service& service) -> void
{
    const std::lock_guard guard(m_lock);
    m_pools = service.pools;
    m_retry = service.retry;
    updateBudgetLocked();
}

auto PlainService::updateInstanceCount(std::uint32_t instanceCount) -> void
{
    const std::lock_guard guard(m_lock);
    m_instanceCount = instanceCount;
    updateBudgetLocked();
}

auto PlainService::updateBudgetLocked() -> void
{
    m_budget.updateLimits(budgetLimits(plainPolicy(m_retry), m_instanceCount));
}

auto PlainService::updateBackends(std::span<const BackendServer> backends) -> void
{
    const std::lock_guard guard(m_lock);
    std::vector<PlainBackend> list;
    for (const auto& backend : backends) {
        const auto pool = std::ranges::find(m_pools, backend.pool, &Pool::name);
        if (pool == m_pools.end() || backend.state == ReplicaState::Gone)
            continue;
        PlainBackend entry { .server = backend };
        entry.isLocal = backend.availabilityZone == m_context.settings.availabilityZone;
        entry.slots = static_cast<std::uint32_t>(backend.slots > 0 ? backend.slots : pool->slots);
        list.push_back(std::move(entry));
    }
    m_balancer.update(std::move(list));
}

auto PlainService::updateRates(const CallRates& rates) -> void
{
    const std::lock_guard guard(m_lock);
    m_balancer.updateRates(monotonicNow(), rates);
}

auto PlainService::backends() const -> std::vector<PlainBackend>
{
    const std::lock_guard guard(m_lock);
    return m_balancer.backends();
}

auto PlainService::serve(HttpExchange& exchange, PlainCallInfo call) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    m_metrics->arrived.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Debug, call, "request_arrived");
    {
        const std::lock_guard guard(m_lock);
        m_budget.recordRequest();
    }
    call.mayResend = [this, &call](const BackendServer& server) { return tryConsumeResend(call, server); };
    if (call.kind.repeatable || !call.kind.recorded)
        co_await serveUnrecorded(exchange, call);
    else
        co_await serveRecorded(exchange, call);
}

auto PlainService::serveUnrecorded(HttpExchange& exchange, const PlainCallInfo& call) -> asio::awaitable<void>
{
    CallState state;
    // A call that must not be repeated continues after its caller has disconnected, because cancelling it
    // would leave unknown whether it was executed.
    if (call.kind.repeatable) {
        exchange.onClose([&] {
            state.isCallerDisconnected = true;
            state.interrupt.emit(asio::cancellation_type::terminal);
        });
    }
    auto attempt = co_await runCall(exchange.client(), call, call.kind.repeatable, state);
    if (state.isCallerDisconnected) {
        m_metrics->cancelled.fetch_add(1, std::memory_order_relaxed);
        record(LogLevel::Info, call, "request_cancelled", { { "attempts", state.triedBackends.size() } });
        exchange.abort();
    } else if (attempt.response) {
        co_await respond(exchange, call, std::move(*attempt.response));
    } else {
        co_await refuse(exchange, call, noResponseError(call, attempt));
    }
}

auto PlainService::runCall(HttpClient& client, const PlainCallInfo& call, bool isRepeatable, CallState& state) -> asio::awaitable<PlainAttempt>
{
    PlainAttempt last { .isNotRun = true, .reachedBackend = false, .detail = "no backend server is available" };
    while (true) {
        const auto backend = state.replacement ? std::exchange(state.replacement, std::nullopt) : acquire(state.triedBackends);
        if (!backend)
            break;
        state.triedBackends.push_back(backend->id);
        recordDecision(call, "request_placed", { { "backend", backend->id }, { "attempt", state.triedBackends.size() }, { "timeout_ms", remainingTime(call).count() / 1'000 } });
        last = co_await attemptOn(client, *backend, call, isRepeatable, state);
        state.executions += !last.isNotRun;
        m_metrics->backendCalls.fetch_add(last.reachedBackend, std::memory_order_relaxed);
        const auto isEnded = (last.response && last.isFinal) || state.isCallerDisconnected;
        if (isEnded && state.replacement)
            releaseCancelled(std::exchange(state.replacement, std::nullopt)->id);
        if (isEnded)
            break;
        m_metrics->failedAttempts.fetch_add(1, std::memory_order_relaxed);
        const auto budget = retryBudget();
        record(LogLevel::Info, call, "attempt_failed", { { "backend", backend->id }, { "attempt", state.triedBackends.size() }, { "detail", last.detail }, { "ran", last.isNotRun ? "no" : "unknown" }, { "retries_left", budget.remaining() }, { "retry_capacity", budget.capacity() } });
        if (!state.replacement && !mayTryAgain(call, state, last, isRepeatable))
            break;
    }
    last.isNotRun = state.executions == 0;
    co_return last;
}

auto PlainService::mayTryAgain(const PlainCallInfo& call, const CallState& state, const PlainAttempt& last, bool isRepeatable) -> bool
{
    if (state.isCallerDisconnected || monotonicNow() >= call.deadline || state.triedBackends.size() >= maxBackendsPerCall)
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

auto PlainService::replaceSilentAttempt(const PlainCallInfo& call, CallState& state) -> bool
{
    if (state.isCallerDisconnected || state.triedBackends.size() >= maxBackendsPerCall || state.executions + 1 >= call.kind.maxAttempts)
        return false;
    {
        const std::lock_guard guard(m_lock);
        if (m_budget.remaining() < 1)
            return true;
        state.replacement = m_balancer.acquire(monotonicNow(), state.triedBackends);
        if (!state.replacement)
            return true;
        m_budget.tryConsume();
    }
    record(LogLevel::Info, call, "attempt_silent", { { "backend", state.triedBackends.back() }, { "replacement", state.replacement->id }, { "left_ms", remainingTime(call).count() / 1'000 } });
    state.interrupt.emit(asio::cancellation_type::terminal);
    return false;
}

auto PlainService::attemptOn(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call, bool isRepeatable, CallState& state) -> asio::awaitable<PlainAttempt>
{
    const auto sentAt = monotonicNow();
    const auto executor = co_await asio::this_coro::executor;
    std::optional<RepeatedCheck> silenceCheck;
    if (isRepeatable)
        silenceCheck.emplace(executor, remainingTime(call) / silenceTimeoutDivisor, silenceCheckInterval, [this, &call, &state] { return replaceSilentAttempt(call, state); });
    auto result = co_await asio::co_spawn(executor, sendCall(client, backend, call), asio::bind_cancellation_slot(state.interrupt.slot(), asio::use_awaitable));
    silenceCheck.reset();
    if (result.has_value()) {
        const auto limit = m_context.backendProtocol.namedLimit(result->headers);
        auto attempt = attemptFromResponse(backend, call, std::move(*result));
        if (attempt.isRecognised)
            m_context.recordLimit(backend, sentAt, limit);
        co_return attempt;
    }
    const auto& error = result.error();
    if (error.kind == HttpErrorKind::Cancelled && state.isCallerDisconnected)
        releaseCancelled(backend.id);
    else
        release(backend.id, false);
    const auto isNotSent = error.kind == HttpErrorKind::NotConnected;
    co_return PlainAttempt { .isNotRun = isNotSent, .reachedBackend = !isNotSent, .hasTimedOut = error.kind == HttpErrorKind::TimedOut, .detail = std::string(jayhold::name(error.kind)) + ": " + error.detail };
}

auto PlainService::tryConsumeResend(const PlainCallInfo& call, const BackendServer& server) -> bool
{
    {
        const std::lock_guard guard(m_lock);
        if (!call.kind.repeatable || !m_balancer.tryTakeCall(monotonicNow(), server.id) || !m_budget.tryConsume())
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
    release(backend.id, responseClass == ResponseClass::Final || responseClass == ResponseClass::Busy);
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
    case ResponseClass::Misdirected:
        attempt.isNotRun = true;
        break;
    case ResponseClass::Unrecognised:
        attempt.isRecognised = false;
        attempt.detail = "the answer is not the backend server's";
        break;
    }
    return attempt;
}

auto PlainService::serveRecorded(HttpExchange& exchange, const PlainCallInfo& call) -> asio::awaitable<void>
{
    if (call.idempotencyKey.empty()) {
        co_await refuse(exchange, call, ApiError(400, "idempotency_key_required", "calls of kind " + call.kind.name + " need an Idempotency-Key"));
        co_return;
    }
    const auto key = call.customer + "/" + m_name + "/" + call.idempotencyKey;
    const auto attemptId = nextAttemptId(m_context);
    auto decision = co_await m_records.begin(exchange.client(), key, digestOf(call.request), attemptId);
    if (auto* done = std::get_if<RecordDone>(&decision)) {
        m_metrics->replayed.fetch_add(1, std::memory_order_relaxed);
        HttpResponse response { done->response.status, { { "Content-Type", done->response.contentType }, { "X-Jayhold-Replayed", "true" } }, std::move(done->response.body) };
        co_await respond(exchange, call, std::move(response));
    } else if (const auto* running = std::get_if<RecordInProgress>(&decision)) {
        co_await refuse(exchange, call, ApiError(409, "in_progress", "a call with this key is running", ExecutionOutcome::Unknown, running->retryAfter));
    } else if (std::holds_alternative<RecordUnknown>(decision)) {
        co_await refuse(exchange, call, ApiError(409, "outcome_unknown", "a call with this key was started and its outcome is not known", ExecutionOutcome::Unknown));
    } else if (std::holds_alternative<RecordMismatch>(decision)) {
        co_await refuse(exchange, call, ApiError(422, "idempotency_key_reused", "the key was used for another request", ExecutionOutcome::NotRun));
    } else if (const auto* unavailable = std::get_if<RecordUnavailable>(&decision)) {
        const auto delay = unavailable->retryAfter > Duration::zero() ? unavailable->retryAfter : jitteredDelay(retryDelay);
        co_await refuse(exchange, call, ApiError(503, "records_unavailable", "the call can't be recorded now and was not run", ExecutionOutcome::NotRun, delay));
    } else {
        co_await runRecorded(exchange, call, key, attemptId);
    }
}

auto PlainService::runRecorded(HttpExchange& exchange, const PlainCallInfo& call, std::string key, std::string attemptId) -> asio::awaitable<void>
{
    auto& client = exchange.client();
    CallState state;
    auto attempt = co_await runCall(client, call, false, state);
    if (attempt.response) {
        const auto contentType = findHeader(attempt.response->headers, "Content-Type").value_or("application/octet-stream");
        StoredResponse stored { attempt.response->status, std::string(contentType), attempt.response->body };
        const auto isStored = co_await m_records.finish(client, key, attemptId, std::move(stored));
        if (!isStored)
            m_context.log.record(LogLevel::Warning, "answer_not_stored", { { "service", m_name }, { "attempt", attemptId } });
        co_await respond(exchange, call, std::move(*attempt.response));
        co_return;
    }
    if (attempt.isNotRun) {
        // The record is withdrawn, because it would otherwise block the key although the call may be repeated.
        const auto isWithdrawn = co_await m_records.abandon(client, key, attemptId);
        if (!isWithdrawn)
            m_context.log.record(LogLevel::Warning, "record_not_withdrawn", { { "service", m_name }, { "attempt", attemptId } });
        co_await refuse(exchange, call, noResponseError(call, attempt));
        co_return;
    }
    // The outcome is stored as unknown, so that a repeat gets the same response immediately.
    ApiError error(409, "outcome_unknown", "the call was sent and no answer came: " + attempt.detail, ExecutionOutcome::Unknown);
    const auto response = toResponse(error);
    StoredResponse stored { response.status, "application/json", response.body };
    co_await m_records.finish(client, key, attemptId, std::move(stored));
    co_await refuse(exchange, call, std::move(error));
}

auto PlainService::noResponseError(const PlainCallInfo& call, const PlainAttempt& attempt) const -> ApiError
{
    const auto outcome = attempt.isNotRun ? ExecutionOutcome::NotRun : ExecutionOutcome::Unknown;
    if (attempt.hasTimedOut && monotonicNow() >= call.deadline)
        return { 504, std::string(jayhold::name(RefusalReason::DeadlineExceeded)), "no backend server answered in time: " + attempt.detail, outcome };
    return { 503, "no_backend", "no backend server answered: " + attempt.detail, outcome, retryDelayOfCall() };
}

auto PlainService::retryDelayOfCall() const -> Duration
{
    const auto delay = jitteredDelay(retryDelay);
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    const auto next = m_balancer.nextCallAt(now);
    return next == TimePoint::max() ? delay : std::max(delay, std::chrono::duration_cast<Duration>(next - now));
}

auto PlainService::respond(HttpExchange& exchange, const PlainCallInfo& call, HttpResponse response) -> asio::awaitable<void>
{
    auto headers = m_context.callerProtocol.responseHeaders(response.headers);
    if (findHeader(response.headers, "X-Jayhold-Replayed"))
        headers.push_back({ "X-Jayhold-Replayed", "true" });
    if (m_context.callerProtocol.showsHybridTime)
        headers.push_back({ std::string(hybridTimeHeader), toString(m_context.log.clock().tick()) });
    response.headers = std::move(headers);
    m_metrics->finished.fetch_add(1, std::memory_order_relaxed);
    const auto duration = monotonicNow() - call.arrivedAt;
    m_metrics->firstToken.record(duration);
    record(LogLevel::Info, call, "request_finished", { { "status", response.status }, { "took_ms", duration.count() / 1'000 } });
    co_await exchange.respond(std::move(response));
}

auto PlainService::refuse(HttpExchange& exchange, const PlainCallInfo& call, ApiError error) -> asio::awaitable<void>
{
    auto& counter = error.outcome == ExecutionOutcome::NotRun ? m_metrics->refusedNotRun : m_metrics->refusedUnknown;
    counter.fetch_add(1, std::memory_order_relaxed);
    m_context.metrics.countRefusal(error.type);
    recordDecision(call, "request_refused", { { "reason", error.type }, { "detail", error.message }, { "ran", error.outcome == ExecutionOutcome::NotRun ? "no" : "unknown" }, { "retry_after_ms", error.retryAfter.count() / 1'000 } });
    co_await exchange.respond(m_context.callerProtocol.refusal(error));
}

auto PlainService::acquire(std::span<const std::string> excluded) -> std::optional<BackendServer>
{
    const std::lock_guard guard(m_lock);
    return m_balancer.acquire(monotonicNow(), excluded);
}

auto PlainService::release(const std::string& id, bool isHealthy) -> void
{
    const std::lock_guard guard(m_lock);
    m_balancer.release(monotonicNow(), id, isHealthy);
}

auto PlainService::releaseCancelled(const std::string& id) -> void
{
    const std::lock_guard guard(m_lock);
    m_balancer.releaseCancelled(id);
}

auto PlainService::retryBudget() const -> RetryBudget
{
    const std::lock_guard guard(m_lock);
    return m_budget;
}

auto PlainService::tryConsumeRetry() -> bool
{
    const std::lock_guard guard(m_lock);
    return m_budget.tryConsume();
}

}
