#include "PlainService.h"

#include "Sha256.h"
#include "SpreadDelay.h"

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr int maximumAttempts = 3;
constexpr Duration retryDelay = std::chrono::seconds(1);

auto digestOf(const HttpRequest& request) -> std::string
{
    return sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
}

auto nextAttemptId(const EntryContext& context) -> std::string
{
    static std::atomic<std::uint64_t> lastAttempt { 0 };
    return context.settings.instance + "/" + context.runId + "/" + std::to_string(++lastAttempt);
}

/// The fields of a backend server's answer that callers get; all others concern the connection.
auto forwardedHeaders(const HttpResponse& answer) -> std::vector<HttpHeader>
{
    std::vector<HttpHeader> headers;
    for (const auto* name : { "Content-Type", "Location", "ETag", "Retry-After" }) {
        if (const auto value = findHeader(answer.headers, name))
            headers.push_back({ name, std::string(*value) });
    }
    return headers;
}

}

PlainService::PlainService(EntryContext& context, const Service& service, AtMostOnceRecords& records)
    : m_context(context)
    , m_records(records)
    , m_name(service.name)
    , m_metrics(context.metrics.service(service.name))
    , m_pools(service.pools)
{
}

auto PlainService::updateConfiguration(const Service& service) -> void
{
    const std::lock_guard guard(m_lock);
    m_pools = service.pools;
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
        entry.seats = static_cast<std::uint32_t>(pool->seats);
        list.push_back(std::move(entry));
    }
    m_balancer.update(std::move(list));
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
    record(call, "request_arrived", "", "");
    {
        const std::lock_guard guard(m_lock);
        m_budget.requestArrived();
    }
    if (call.kind.repeatable)
        co_await serveRepeatable(exchange, call);
    else
        co_await serveOnce(exchange, call);
}

auto PlainService::serveRepeatable(HttpExchange& exchange, const PlainCallInfo& call) -> asio::awaitable<void>
{
    auto attempt = co_await runCall(exchange.client(), call, true);
    if (attempt.answer)
        co_await answer(exchange, call, std::move(*attempt.answer));
    else
        co_await refuse(exchange, call, unanswered(attempt));
}

auto PlainService::runCall(HttpClient& client, const PlainCallInfo& call, bool mayRepeat) -> asio::awaitable<PlainAttempt>
{
    PlainAttempt last { .isNotRun = true, .detail = "no backend server is available" };
    auto mayHaveRun = false;
    std::vector<std::string> tried;
    for (auto count = 0; count < maximumAttempts && monotonicNow() < call.deadline; ++count) {
        if (count > 0 && !takeRetry())
            break;
        const auto backend = acquire(tried);
        if (!backend)
            break;
        tried.push_back(backend->id);
        record(call, "request_placed", backend->id, "");
        last = co_await tryOn(client, *backend, call);
        if (last.answer)
            co_return last;
        m_metrics->failedAttempts.fetch_add(1, std::memory_order_relaxed);
        record(call, "attempt_failed", backend->id, last.detail);
        mayHaveRun = mayHaveRun || !last.isNotRun;
        if (!last.isNotRun && !mayRepeat)
            break;
    }
    last.isNotRun = !mayHaveRun;
    co_return last;
}

auto PlainService::tryOn(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call) -> asio::awaitable<PlainAttempt>
{
    auto request = call.request;
    // The client sends a call again by itself only where it may run more than once.
    request.isIdempotent = call.kind.repeatable;
    const auto timeout = std::max(call.deadline - monotonicNow(), Duration(1'000));
    auto answer = co_await client.request(backend.endpoint, std::move(request), timeout);
    release(backend.id, answer.has_value());
    if (answer.has_error())
        co_return PlainAttempt { {}, answer.error().kind == HttpErrorKind::NotConnected, answer.error().detail };
    if (answer->status == 503) {
        m_context.reportLeaving(backend.id);
        // A backend server that is leaving says so before it runs a call.
        const auto saysNotRun = answer->body.find(R"("ran":"no")") != std::string::npos || answer->body.find(R"("ran":false)") != std::string::npos;
        if (saysNotRun || call.kind.repeatable)
            co_return PlainAttempt { {}, saysNotRun, "status 503" };
    }
    co_return PlainAttempt { std::move(*answer) };
}

auto PlainService::serveOnce(HttpExchange& exchange, const PlainCallInfo& call) -> asio::awaitable<void>
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
        HttpResponse response { done->answer.status, { { "Content-Type", done->answer.contentType }, { "X-Jayhold-Replayed", "true" } }, std::move(done->answer.body) };
        co_await answer(exchange, call, std::move(response));
    } else if (const auto* running = std::get_if<RecordInProgress>(&decision)) {
        co_await refuse(exchange, call, ApiError(409, "in_progress", "a call with this key is running", Outcome::Unknown, running->retryAfter));
    } else if (std::holds_alternative<RecordUnknown>(decision)) {
        co_await refuse(exchange, call, ApiError(409, "outcome_unknown", "a call with this key was started and its outcome is not known", Outcome::Unknown));
    } else if (std::holds_alternative<RecordMismatch>(decision)) {
        co_await refuse(exchange, call, ApiError(422, "idempotency_key_reused", "the key was used for another request", Outcome::NotRun));
    } else if (const auto* unavailable = std::get_if<RecordUnavailable>(&decision)) {
        const auto delay = unavailable->retryAfter > Duration::zero() ? unavailable->retryAfter : spreadDelay(retryDelay);
        co_await refuse(exchange, call, ApiError(503, "records_unavailable", "the call can't be recorded now and was not run", Outcome::NotRun, delay));
    } else {
        co_await runRecorded(exchange, call, key, attemptId);
    }
}

auto PlainService::runRecorded(HttpExchange& exchange, const PlainCallInfo& call, std::string key, std::string attemptId) -> asio::awaitable<void>
{
    auto& client = exchange.client();
    auto attempt = co_await runCall(client, call, false);
    if (attempt.answer) {
        const auto contentType = findHeader(attempt.answer->headers, "Content-Type").value_or("application/octet-stream");
        StoredAnswer stored { attempt.answer->status, std::string(contentType), attempt.answer->body };
        const auto isStored = co_await m_records.finish(client, key, attemptId, std::move(stored));
        if (!isStored)
            m_context.log.record(LogLevel::Warning, "answer_not_stored", { { "service", m_name }, { "attempt", attemptId } });
        co_await answer(exchange, call, std::move(*attempt.answer));
        co_return;
    }
    if (attempt.isNotRun) {
        // Without its record withdrawn the key would be blocked, though the call may be repeated.
        const auto isWithdrawn = co_await m_records.abandon(client, key, attemptId);
        if (!isWithdrawn)
            m_context.log.record(LogLevel::Warning, "record_not_withdrawn", { { "service", m_name }, { "attempt", attemptId } });
        co_await refuse(exchange, call, unanswered(attempt));
        co_return;
    }
    // The outcome is stored as not known, so that a repeat gets the same answer at once.
    ApiError error(409, "outcome_unknown", "the call was sent and no answer came: " + attempt.detail, Outcome::Unknown);
    const auto response = toResponse(error);
    StoredAnswer stored { response.status, "application/json", response.body };
    co_await m_records.finish(client, key, attemptId, std::move(stored));
    co_await refuse(exchange, call, std::move(error));
}

auto PlainService::unanswered(const PlainAttempt& attempt) const -> ApiError
{
    const auto outcome = attempt.isNotRun ? Outcome::NotRun : Outcome::Unknown;
    return { 503, "no_backend", "no backend server answered: " + attempt.detail, outcome, spreadDelay(retryDelay) };
}

auto PlainService::answer(HttpExchange& exchange, const PlainCallInfo& call, HttpResponse response) -> asio::awaitable<void>
{
    auto headers = forwardedHeaders(response);
    if (findHeader(response.headers, "X-Jayhold-Replayed"))
        headers.push_back({ "X-Jayhold-Replayed", "true" });
    headers.push_back({ std::string(hybridTimeHeader), toString(m_context.log.clock().tick()) });
    response.headers = std::move(headers);
    m_metrics->finished.fetch_add(1, std::memory_order_relaxed);
    m_metrics->firstToken.record(monotonicNow() - call.arrivedAt);
    record(call, "request_finished", "", std::to_string(response.status));
    co_await exchange.respond(std::move(response));
}

auto PlainService::refuse(HttpExchange& exchange, const PlainCallInfo& call, ApiError error) -> asio::awaitable<void>
{
    auto& counter = error.outcome == Outcome::NotRun ? m_metrics->refusedNotRun : m_metrics->refusedUnknown;
    counter.fetch_add(1, std::memory_order_relaxed);
    record(call, "request_refused", "", error.type);
    co_await exchange.respond(toResponse(error));
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

auto PlainService::takeRetry() -> bool
{
    const std::lock_guard guard(m_lock);
    return m_budget.take();
}

auto PlainService::record(const PlainCallInfo& call, std::string_view event, std::string_view backend, std::string_view detail) -> void
{
    m_context.log.record(LogLevel::Debug, event, { { "service", m_name }, { "kind", call.kind.name }, { "customer", call.customer }, { "key", call.idempotencyKey }, { "backend", backend }, { "detail", detail } });
}

}
