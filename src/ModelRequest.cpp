#include "ModelRequest.h"

#include "AwaitToken.h"
#include "CompletionWriter.h"
#include "JitteredDelay.h"
#include "ModelArrival.h"
#include "ModelRequestTasks.h"
#include "PassThroughWriter.h"
#include "RequestTimeouts.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr auto deadlineRetryDelay = std::chrono::seconds(1);

auto unixSeconds() -> std::int64_t
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
}

auto completionId(const ModelRequestInfo& info, const EntryContext& context) -> std::string
{
    static std::atomic<std::uint64_t> lastId { 0 };
    const auto* prefix = info.request.api == CompletionApi::Chat ? "chatcmpl-" : "cmpl-";
    return prefix + context.settings.instance + "-" + context.runId + "-" + std::to_string(++lastId);
}

auto formatOf(const ModelRequestInfo& info, const EntryContext& context) -> CompletionFormat
{
    return { info.request.api, completionId(info, context), info.model, unixSeconds() };
}

auto makeWriter(HttpExchange& exchange, const ModelRequestInfo& info, const EntryContext& context) -> std::unique_ptr<ResponseWriter>
{
    if (info.forwarded)
        return std::make_unique<PassThroughWriter>(exchange, context.callerProtocol);
    std::vector<HttpHeader> headers { { std::string(hybridTimeHeader), toString(context.log.clock().tick()) } };
    return std::make_unique<CompletionWriter>(exchange, info.request, formatOf(info, context), std::move(headers));
}

/// @return a sequence that continues after the tokens that the caller has from an earlier response.
auto sequenceOf(const ModelRequestInfo& info, const EntryContext& context) -> TokenSequence
{
    const auto last = info.forwarded ? info.forwarded->lastToken : std::nullopt;
    return TokenSequence(context.backendProtocol.indexRule, last ? *last + 1 : 0);
}

}

ModelRequest::ModelRequest(EntryContext& context, std::shared_ptr<ModelService> service, HttpExchange& exchange, ModelRequestInfo info)
    : m_context(context)
    , m_service(std::move(service))
    , m_exchange(exchange)
    , m_info(std::move(info))
    , m_tasks(std::make_unique<Tasks>(exchange.executor()))
    , m_writer(makeWriter(exchange, m_info, context))
    , m_timeouts(callTimeoutsOf(m_info, context))
    , m_silenceTimeouts(silenceTimeoutsOf(m_info, context))
    , m_tokensPerEvent(m_service->tokensPerEvent())
    , m_relay(*m_writer, m_machine, m_service->metrics(), m_timeouts, m_info.arrivedAt, sequenceOf(m_info, context), m_tokensPerEvent)
    , m_boundVersion(m_info.boundVersion)
    , m_promptTokens(m_info.digest.tokens)
{
}

ModelRequest::~ModelRequest() = default;

auto ModelRequest::run() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    m_exchange.onClose([weak = weak_from_this()] {
        if (const auto request = weak.lock())
            request->enqueue(CallerDisconnected {});
    });
    m_service->metrics().arrived.fetch_add(1, std::memory_order_relaxed);
    auto arrival = arrivalOf(m_info);
    arrival.kind = m_service->kindId(m_info.kindSettings.name);
    arrival.resumedTokens = tokensSent();
    if (m_boundVersion)
        arrival.boundVersion = m_service->versionId(*m_boundVersion);
    m_id = m_service->open(std::move(arrival), self);
    record(LogLevel::Debug, "request_arrived");
    std::exception_ptr thrown;
    try {
        while (!m_hasEnded) {
            auto requestEvent = co_await nextEvent();
            co_await handle(std::move(requestEvent));
        }
    } catch (...) {
        thrown = std::current_exception();
    }
    // The running attempt refers to the exchange, so it must end before the exception leaves the handler.
    if (thrown) {
        m_hasEnded = true;
        m_service->handleEvent(RequestCancelled { m_id });
    }
    co_await stopTasks();
    // The shard does not know of the end if it has started another attempt meanwhile.
    const auto isStart = [](const RequestEvent& queued) {
        const auto* action = std::get_if<DecisionAction>(&queued);
        return action && (std::holds_alternative<StartPrefill>(*action) || std::holds_alternative<StartDecode>(*action) || std::holds_alternative<ReturnToFallback>(*action));
    };
    if (std::ranges::any_of(m_tasks->events, isStart))
        m_service->handleEvent(RequestCancelled { m_id });
    releasePrefillResult();
    releaseSlot();
    releaseReplacement();
    m_service->close(m_id);
    if (thrown)
        std::rethrow_exception(thrown);
}

auto ModelRequest::deliver(const DecisionAction& action) -> void
{
    asio::dispatch(m_tasks->executor, [self = shared_from_this(), action] { self->enqueue(action); });
}

auto ModelRequest::enqueue(RequestEvent requestEvent) -> void
{
    m_tasks->events.push_back(std::move(requestEvent));
    m_tasks->wake.cancel();
}

auto ModelRequest::nextEvent() -> asio::awaitable<RequestEvent>
{
    auto& tasks = *m_tasks;
    while (tasks.events.empty()) {
        tasks.wake.expires_at(m_info.deadline + deadlineGracePeriod);
        boost::system::error_code code;
        co_await tasks.wake.async_wait(awaitInto(code));
        if (!code && tasks.events.empty())
            co_return DeadlineExpired {};
    }
    auto requestEvent = std::move(tasks.events.front());
    tasks.events.pop_front();
    co_return requestEvent;
}

auto ModelRequest::handle(RequestEvent requestEvent) -> asio::awaitable<void>
{
    if (auto* action = std::get_if<DecisionAction>(&requestEvent)) {
        co_await handleAction(*action);
    } else if (auto* prefill = std::get_if<PrefillEnded>(&requestEvent)) {
        endPrefill(std::move(*prefill));
    } else if (auto* decode = std::get_if<DecodeEnded>(&requestEvent)) {
        co_await endDecode(std::move(*decode));
    } else if (std::holds_alternative<CallerDisconnected>(requestEvent)) {
        co_await cancel();
    } else {
        m_service->handleEvent(RequestCancelled { m_id });
        auto error = refusalError(RefusalReason::DeadlineExceeded, m_hasStartedAttempt ? ExecutionOutcome::Unknown : ExecutionOutcome::NotRun, jitteredDelay(deadlineRetryDelay));
        co_await refuse(std::move(error));
    }
}

auto ModelRequest::handleAction(DecisionAction action) -> asio::awaitable<void>
{
    if (!std::holds_alternative<CancelOnReplica>(action)) {
        co_await handleEndedTasks();
        if (m_hasEnded) {
            // The shard does not know of the end if it has started another attempt meanwhile.
            m_service->handleEvent(RequestCancelled { m_id });
            co_return;
        }
    }
    if (const auto* prefill = std::get_if<StartPrefill>(&action)) {
        co_await beginPrefill(*prefill);
    } else if (const auto* decode = std::get_if<StartDecode>(&action)) {
        co_await beginDecode(*decode);
    } else if (const auto* refusal = std::get_if<Refuse>(&action)) {
        // If the caller has tokens, the request was executed, even if the shard has no record of it.
        const auto outcome = m_relay.hasSentTokens() ? ExecutionOutcome::Unknown : refusal->outcome;
        m_refusalInputs = refusal->inputs;
        auto error = refusalError(refusal->reason, outcome, refusal->retryAfter);
        co_await refuse(std::move(error));
    } else if (const auto* cancelled = std::get_if<CancelOnReplica>(&action)) {
        if (cancelled->becomesFallback)
            keepAsFallback();
        else if (cancelled->replica == m_tasks->replica)
            co_await cancelTask();
    } else if (const auto* fallback = std::get_if<ReturnToFallback>(&action)) {
        co_await continueFallback(*fallback);
    } else if (const auto* reservation = std::get_if<ReserveReplacement>(&action)) {
        beginReservation(*reservation);
    } else if (const auto* release = std::get_if<ReleaseReplacement>(&action)) {
        if (m_replacement && m_replacement->number == release->number)
            releaseReplacement();
    }
}

auto ModelRequest::beginPrefill(StartPrefill action) -> asio::awaitable<void>
{
    co_await stopTask();
    if (!m_machine.apply(RequestTransition::PrefillStarted))
        co_return;
    if (!m_hasStartedAttempt)
        m_service->metrics().queueWait.record(monotonicNow() - m_info.arrivedAt);
    m_attempt = action.attempt;
    releasePrefillResult();
    takeSlot(action.replacement);
    m_prefillReplica = action.prefill;
    const auto replica = m_service->replica(action.prefill);
    if (!replica) {
        enqueue(PrefillEnded { addTask(action.prefill, true)->number, EngineError { FailureKind::NotConnected, "the backend server was removed" } });
        co_return;
    }
    reportBinding();
    const auto decode = m_service->replica(action.decode);
    if (auto error = decode ? checkVersion(*decode) : std::nullopt) {
        enqueue(PrefillEnded { addTask(action.prefill, true)->number, std::move(*error), true });
        co_return;
    }
    m_hasStartedAttempt = true;
    m_backend = replica->backend.id;
    const auto queueTime = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - m_info.arrivedAt);
    recordDecision(m_slotRefusals == 0 ? LogLevel::Info : LogLevel::Debug, "request_placed", { { "decode_backend", decode ? decode->backend.id : "" }, { "software_version", decode ? decode->backend.softwareVersion : "" }, { "bound", m_boundVersion.has_value() }, { "bound_version", boundVersionText() }, { "decode_tokens", action.slot.reservedTokens }, { "free_tokens", action.slot.freeTokens }, { "prompt_tokens", m_info.digest.tokens }, { "waited_ms", queueTime.count() } });
    record(LogLevel::Debug, "prefill_started");
    announceVersion(decode);
    auto call = engineCall(m_relay.tokens());
    call.mayResend = [this] { return tryConsumeResend(); };
    m_slotMemory = action.slot;
    const auto task = addTask(action.prefill, true);
    spawnTask(task, runPrefill(task, *replica, decode, std::move(call)));
}

auto ModelRequest::endPrefill(PrefillEnded ended) -> void
{
    if (!m_tasks->current || ended.task != m_tasks->current->number)
        return;
    if (ended.result.has_error()) {
        if (m_machine.apply(RequestTransition::PrefillFailed))
            reportFailure(true, ended.result.error(), ended.isSlotRefused);
        return;
    }
    if (!m_machine.apply(RequestTransition::PrefillDone))
        return;
    m_prefill = std::move(*ended.result);
    m_promptTokens = m_prefill->promptTokens;
    m_cachedTokens = m_prefill->cachedTokens;
    record(LogLevel::Debug, "prefill_done", { { "cached_tokens", m_cachedTokens } });
    m_service->handleEvent(PrefillDone { m_id, m_attempt, monotonicNow() + m_prefill->ttl, m_cachedTokens });
}

auto ModelRequest::beginDecode(StartDecode action) -> asio::awaitable<void>
{
    co_await stopTask();
    if (!m_machine.apply(RequestTransition::DecodeStarted))
        co_return;
    m_attempt = action.attempt;
    if (action.replacement)
        takeSlot(action.replacement);
    const auto replica = m_service->replica(action.decode);
    if (!replica) {
        enqueue(DecodeEnded { addTask(action.decode, false)->number, { EngineError { FailureKind::NotConnected, "the backend server was removed" } } });
        co_return;
    }
    reportBinding();
    if (auto error = checkVersion(*replica)) {
        // The result of a prefill can be used at another decode engine.
        enqueue(DecodeEnded { addTask(action.decode, false)->number, { std::move(*error) }, !action.prefill });
        co_return;
    }
    m_hasStartedAttempt = true;
    m_backend = replica->backend.id;
    announceVersion(replica);
    // The relay counts the events that the caller has. The shard's count may lag behind.
    auto call = engineCall(m_relay.tokens());
    // The connection may have closed because another process with another version has taken the engine's place.
    if (m_info.kindSettings.repeatable && !m_boundVersion)
        call.mayResend = [this] { return tryConsumeResend(); };
    if (m_prefill && action.prefill == m_prefillReplica) {
        if (const auto source = m_service->replica(m_prefillReplica))
            call.kv = KvSource { source->backend.endpoint, m_prefill->handle };
    } else {
        releasePrefillResult();
    }
    if (m_slot && m_slot->replica == action.decode) {
        call.slot = m_slot->name;
        m_slot.reset();
    } else {
        releaseSlot();
    }
    const auto needsSlot = action.slot && !call.slot;
    if (needsSlot)
        m_slotMemory = *action.slot;
    record(LogLevel::Info, "transfer_started", { { "software_version", replica->backend.softwareVersion }, { "bound", m_boundVersion.has_value() }, { "bound_version", boundVersionText() }, { "split", call.kv.has_value() }, { "resume_from", call.resumeFrom }, { "seat_refusals", m_slotRefusals } });
    const auto task = addTask(action.decode, false);
    spawnTask(task, runDecode(task, *replica, std::move(call), needsSlot));
}

auto ModelRequest::endDecode(DecodeEnded ended) -> asio::awaitable<void>
{
    if (m_tasks->fallback && ended.task == m_tasks->fallback->number) {
        co_await endFallback(std::move(ended));
        co_return;
    }
    if (!m_tasks->current || ended.task != m_tasks->current->number)
        co_return;
    if (ended.outcome.isCallerDisconnected) {
        co_await cancel();
        co_return;
    }
    if (!ended.outcome.error) {
        co_await finish(DecodeFinished { m_id, m_attempt, tokensSent() });
        co_return;
    }
    if (m_machine.apply(RequestTransition::DecodeFailed))
        reportFailure(false, *ended.outcome.error, ended.isSlotRefused);
}

auto ModelRequest::finish(DecisionEvent completion) -> asio::awaitable<void>
{
    if (!m_machine.apply(RequestTransition::Finished))
        co_return;
    m_hasEnded = true;
    dropFallback("finished");
    // The engine has finished the request, so its slot is free whether or not the caller receives the rest.
    m_service->handleEvent(completion);
    const auto* reason = m_relay.tokens() >= m_info.request.maxTokens ? "length" : "stop";
    const auto isSent = co_await m_writer->finish(reason, usage());
    m_service->metrics().finished.fetch_add(1, std::memory_order_relaxed);
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - m_info.arrivedAt);
    record(LogLevel::Info, isSent ? "request_finished" : "answer_not_taken", { { "tokens", m_relay.tokens() }, { "first_token_ms", m_relay.timeToFirstToken().count() / 1'000 }, { "longest_gap_ms", m_relay.longestTokenGap().count() / 1'000 }, { "took_ms", duration.count() } });
}

auto ModelRequest::refuse(ApiError error) -> asio::awaitable<void>
{
    co_await stopTasks();
    if (!m_machine.apply(RequestTransition::Refused))
        co_return;
    m_hasEnded = true;
    recordRefusal(error);
    if (error.outcome == ExecutionOutcome::Unknown)
        error.response = m_failedResponse;
    co_await m_writer->fail(std::move(error));
}

auto ModelRequest::cancel() -> asio::awaitable<void>
{
    if (!m_machine.apply(RequestTransition::Cancelled))
        co_return;
    m_hasEnded = true;
    m_service->handleEvent(RequestCancelled { m_id });
    m_service->metrics().cancelled.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Info, "request_cancelled", { { "tokens", m_relay.tokens() } });
    co_await stopTasks();
}

auto ModelRequest::remainingMs() const -> std::int64_t
{
    const auto remaining = std::max(m_info.deadline - monotonicNow(), Duration::zero());
    return std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
}

auto ModelRequest::usage() const -> CompletionUsage
{
    return { m_promptTokens, m_cachedTokens, m_relay.tokens() };
}

}
