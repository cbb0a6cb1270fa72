#include "PlainService.h"

#include "JitteredDelay.h"
#include "PlainReplacement.h"
#include "Sha256.h"

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

auto digestOf(const HttpRequest& request) -> std::string
{
    return sha256Hex(request.method + "\n" + request.target + "\n" + std::string(request.content()));
}

auto drainRefusal() -> ApiError
{
    return refusalError(RefusalReason::Draining, ExecutionOutcome::NotRun, jitteredDelay(plainRetryDelay));
}

/// A policy that instances do not share is replaced by the limits for plain calls.
auto plainPolicy(const RetryPolicy& policy) -> RetryPolicy
{
    return policy.isShared ? policy : RetryPolicy { .ratio = plainRetryLimits.ratio, .burst = plainRetryLimits.capacity };
}

auto hasSeveralPriorities(const Service& service) -> bool
{
    return std::ranges::any_of(service.kinds, [&](const RequestKind& kind) { return kind.priority != service.kinds.front().priority; });
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
    , m_hasSeveralPriorities(hasSeveralPriorities(service))
    , m_retry(service.retry)
    , m_instanceCount(instanceCount)
    , m_budget(makeRetryBudget(plainPolicy(service.retry), instanceCount))
{
}

auto PlainService::updateConfiguration(const Service& service) -> void
{
    const std::lock_guard guard(m_lock);
    m_pools = service.pools;
    m_hasSeveralPriorities = hasSeveralPriorities(service);
    m_retry = service.retry;
    std::erase_if(m_durations, [&](const auto& entry) { return std::ranges::find(service.kinds, entry.first, &RequestKind::name) == service.kinds.end(); });
    std::erase_if(m_callReferences, [&](const auto& entry) { return std::ranges::find(service.kinds, entry.first, &RequestKind::name) == service.kinds.end(); });
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

auto PlainService::updateBackends(std::span<const BackendServer> backends, const BackendPauses& pauses) -> void
{
    CrashUpdates updates;
    applyBackends(backends, pauses, updates);
    publish(updates);
}

auto PlainService::applyBackends(std::span<const BackendServer> backends, const BackendPauses& pauses, CrashUpdates& updates) -> void
{
    const std::lock_guard guard(m_lock);
    findReplacedServersLocked(backends, updates);
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
    for (const auto& [process, entry] : pauses.entries)
        m_balancer.applyPause(process.first, process.second, entry.pause);
}

auto PlainService::applyPause(const BackendServer& server, const BackendPause& pause) -> void
{
    const std::lock_guard guard(m_lock);
    m_balancer.applyPause(server.id, server.incarnation, pause);
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
    call.onNotice = m_context.handleNotice;
    call.onSkippedResponse = [this, &call](const BackendServer& server, unsigned status) { record(LogLevel::Info, call, "response_skipped", { { "backend", server.id }, { "status", status } }); };
    const auto endsAt = requestsEndAt(m_context);
    if (monotonicNow() >= endsAt) {
        co_await refuse(exchange, call, drainRefusal());
        co_return;
    }
    call.deadline = std::min(call.deadline, endsAt);
    if (!canEndBeforeExit(call)) {
        co_await refuse(exchange, call, drainRefusal());
        co_return;
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
            if (state.replacement)
                state.replacement->interrupt.emit(asio::cancellation_type::terminal);
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
        const auto delay = unavailable->retryAfter > Duration::zero() ? unavailable->retryAfter : jitteredDelay(plainRetryDelay);
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
    if (attempt.isRefusedByDrain)
        return drainRefusal();
    const auto outcome = attempt.isNotRun ? ExecutionOutcome::NotRun : ExecutionOutcome::Unknown;
    if (attempt.isRefusedAsCrashing)
        return refusalError(RefusalReason::CrashSuspect, outcome, Duration::zero());
    if (attempt.hasTimedOut && monotonicNow() >= call.deadline)
        return { 504, std::string(jayhold::name(RefusalReason::DeadlineExceeded)), "no backend server answered in time: " + attempt.detail, outcome };
    if (attempt.isNotRun && attempt.slotWait)
        return refusalError(RefusalReason::Overloaded, outcome, jitteredDelay(std::max<Duration>(*attempt.slotWait, minSlotRetryDelay)));
    const auto delay = jitteredDelay(plainRetryDelay);
    const std::lock_guard guard(m_lock);
    return { 503, "no_backend", "no backend server answered: " + attempt.detail, outcome, retryDelayOfCallLocked(monotonicNow(), delay) };
}

auto PlainService::retryDelayOfCallLocked(TimePoint now, Duration delay) const -> Duration
{
    // A caller that returns before the end of all pauses would be refused again.
    if (const auto pausesEnd = m_balancer.pausesEndAt(now); pausesEnd > now)
        return pausesEnd - now + delay;
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

auto PlainService::release(const BackendServer& backend, bool isHealthy) -> void
{
    auto hasReturned = false;
    {
        const std::lock_guard guard(m_lock);
        hasReturned = m_balancer.release(monotonicNow(), backend.id, isHealthy);
    }
    if (hasReturned)
        m_context.reportReturned(backend);
}

auto PlainService::releaseSuspect(const std::string& id) -> void
{
    const std::lock_guard guard(m_lock);
    m_balancer.releaseSuspect(id);
}

auto PlainService::releaseRejected(const std::string& id) -> void
{
    const std::lock_guard guard(m_lock);
    m_balancer.releaseRejected(monotonicNow(), id);
}

auto PlainService::releaseCancelled(const std::string& id) -> void
{
    const std::lock_guard guard(m_lock);
    m_balancer.releaseCancelled(monotonicNow(), id);
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
