#include "ModelRequestTasks.h"

#include "AwaitToken.h"
#include "ExceptionText.h"
#include "Pause.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

auto endStream(HttpStream& stream, const RelayResult& outcome) -> void
{
    if (outcome.error || outcome.isCallerDisconnected)
        stream.close();
    else
        stream.release();
}

}

auto ModelRequest::addTask(ReplicaId replica, bool isPrefill) -> std::shared_ptr<Task>
{
    auto task = std::make_shared<Task>();
    task->number = ++m_tasks->lastTask;
    task->attempt = m_attempt;
    task->replica = replica;
    task->backend = m_backend;
    task->isPrefill = isPrefill;
    m_tasks->current = task;
    return task;
}

auto ModelRequest::spawnTask(std::shared_ptr<Task> task, asio::awaitable<void> call) -> void
{
    m_tasks->replica = task->replica;
    ++m_tasks->running;
    task->isRunning = true;
    task->calledAt = monotonicNow();
    task->tokensAtCall = m_relay.tokens();
    watchSilence(silenceEnd(*task));
    const auto slot = task->interrupt.slot();
    auto onEnd = [self = shared_from_this(), task = std::move(task)](const std::exception_ptr& thrown) {
        --self->m_tasks->running;
        task->isRunning = false;
        if (self->isCurrent(*task))
            self->m_tasks->silence.cancel();
        if (const auto stream = std::exchange(task->stream, nullptr); stream && thrown)
            stream->close();
        if (thrown)
            self->failTask(*task, thrown);
        self->m_tasks->ended.cancel();
    };
    asio::co_spawn(m_tasks->executor, std::move(call), asio::bind_cancellation_slot(slot, std::move(onEnd)));
}

auto ModelRequest::isCurrent(const Task& task) const -> bool
{
    return m_tasks->current.get() == &task;
}

auto ModelRequest::failTask(const Task& task, const std::exception_ptr& thrown) -> void
{
    EngineError error { FailureKind::ServerError, exceptionText(thrown) };
    record(LogLevel::Error, "task_failed", { { "task", task.isPrefill ? "prefill" : "decode" }, { "detail", error.detail } });
    if (task.isPrefill)
        enqueue(PrefillEnded { task.number, std::move(error) });
    else
        enqueue(DecodeEnded { task.number, { std::move(error) } });
}

auto ModelRequest::watchSilence(TimePoint checkAt) -> void
{
    m_tasks->silence.expires_at(checkAt);
    m_tasks->silence.async_wait([weak = weak_from_this()](const boost::system::error_code& code) {
        const auto request = weak.lock();
        if (!code && request)
            request->checkSilence();
    });
}

auto ModelRequest::checkSilence() -> void
{
    const auto task = m_tasks->current;
    if (!task || !task->isRunning)
        return;
    const auto now = monotonicNow();
    if (task->isWaitingForRecord) {
        watchSilence(now + silenceCheckInterval);
        return;
    }
    if (now < silenceEnd(*task)) {
        watchSilence(silenceEnd(*task));
        // Tokens are reported in batches; an engine that goes on after a pause is reported at once.
        if (std::exchange(task->isSilenceLogged, false) && tokensSent() > 0)
            m_service->handleEvent(TokensEmitted { m_id, m_attempt, tokensSent() });
        return;
    }
    if (!std::exchange(task->isSilenceLogged, true))
        record(LogLevel::Info, "attempt_silent", { { "phase", task->isPrefill ? "prefill" : "decode" }, { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    // Room at other engines may become free later.
    watchSilence(now + silenceCheckInterval);
    m_service->handleEvent(AttemptSilent { m_id, m_attempt, tokensSent() });
}

auto ModelRequest::silenceEnd(const Task& task) const -> TimePoint
{
    if (task.isPrefill)
        return task.calledAt + m_silenceTimeouts.prefill;
    if (m_relay.tokens() == task.tokensAtCall)
        return task.calledAt + m_silenceTimeouts.firstToken;
    return m_relay.waitingSince() + m_silenceTimeouts.stall;
}

auto ModelRequest::interrupt(Task& task) -> void
{
    if (!task.isRunning)
        return;
    if (task.stream)
        task.stream->close();
    else
        task.interrupt.emit(asio::cancellation_type::terminal);
}

auto ModelRequest::cancelTask() -> asio::awaitable<void>
{
    co_await awaitBegunAnswer();
    const auto task = m_tasks->current;
    if (!task || !task->isRunning)
        co_return;
    record(LogLevel::Info, "attempt_cancelled", { { "phase", task->isPrefill ? "prefill" : "decode" }, { "tokens", m_relay.tokens() }, { "silent", task->isSilenceLogged }, { "left_ms", remainingMs() } });
    // The task then fails, which reports to the shard how many tokens were sent.
    interrupt(*task);
}

auto ModelRequest::awaitBegunAnswer() -> asio::awaitable<void>
{
    // Less than the time between the end of requests and the end of exchanges in a drain.
    constexpr Duration arrivedAnswerTime = std::chrono::milliseconds(20);
    constexpr Duration checkInterval = std::chrono::milliseconds(2);
    const auto refusalOf = [](const RequestEvent& queued) {
        const auto* action = std::get_if<DecisionAction>(&queued);
        return action ? std::get_if<Refuse>(action) : nullptr;
    };
    const auto isEnd = [](const RequestEvent& queued) {
        const auto* decode = std::get_if<DecodeEnded>(&queued);
        return std::holds_alternative<CallerDisconnected>(queued) || (decode && !decode->outcome.error);
    };
    const auto& events = m_tasks->events;
    const auto refused = std::ranges::find_if(events, refusalOf);
    if (refused == events.end() || !m_relay.hasSentTokens())
        co_return;
    auto until = monotonicNow() + arrivedAnswerTime;
    if (refusalOf(*refused)->reason == RefusalReason::DeadlineExceeded)
        until = std::max(until, m_info.deadline);
    while (m_tasks->running > 0 && monotonicNow() < until && std::ranges::none_of(events, isEnd))
        co_await pause(checkInterval);
}

auto ModelRequest::stopTask() -> asio::awaitable<void>
{
    const auto task = m_tasks->current;
    if (!task || !task->isRunning)
        co_return;
    // The results that the task still reports do not belong to the current attempt any more.
    m_tasks->current.reset();
    interrupt(*task);
    while (task->isRunning)
        co_await awaitTaskEnd();
    recordInterruption();
}

auto ModelRequest::stopTasks() -> asio::awaitable<void>
{
    if (const auto fallback = std::exchange(m_tasks->fallback, nullptr))
        interrupt(*fallback);
    co_await stopTask();
    while (m_tasks->running > 0)
        co_await awaitTaskEnd();
}

auto ModelRequest::awaitTaskEnd() -> asio::awaitable<void>
{
    m_tasks->ended.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code code;
    co_await m_tasks->ended.async_wait(awaitInto(code));
}

auto ModelRequest::recordInterruption() -> void
{
    // Only one of the two transitions is valid.
    if (!m_machine.apply(RequestTransition::PrefillFailed))
        m_machine.apply(RequestTransition::DecodeFailed);
}

auto ModelRequest::handleEndedTasks() -> asio::awaitable<void>
{
    auto& events = m_tasks->events;
    while (!m_hasEnded) {
        const auto ended = std::ranges::find_if(events, [](const RequestEvent& queued) { return std::holds_alternative<PrefillEnded>(queued) || std::holds_alternative<DecodeEnded>(queued); });
        if (ended == events.end())
            co_return;
        auto result = std::move(*ended);
        events.erase(ended);
        co_await handle(std::move(result));
    }
}

auto ModelRequest::engineCall(std::uint32_t resumeFrom) const -> EngineCall
{
    EngineCall call;
    call.requestId = m_service->engineRequestId(m_id, m_attempt);
    call.owner = m_context.settings.instance;
    call.model = m_info.model;
    call.prompt = m_info.request.prompt;
    call.priority = static_cast<int>(m_info.kindSettings.latencyClass);
    call.maxTokens = m_info.request.maxTokens;
    call.resumeFrom = resumeFrom;
    call.forwarded = m_info.forwarded;
    call.prefillResultTtl = m_service->prefillResultTtl();
    return call;
}

auto ModelRequest::observeResponses(EngineCall& call) -> void
{
    call.onNotice = m_context.handleNotice;
    call.onSkippedResponse = [this](unsigned status) {
        record(LogLevel::Info, "response_skipped", { { "status", status } });
    };
}

auto ModelRequest::runPrefill(std::shared_ptr<Task> task, ReplicaStatus replica, std::optional<ReplicaStatus> decode, EngineCall call) -> asio::awaitable<void>
{
    co_await asio::this_coro::throw_if_cancelled(false);
    const auto self = shared_from_this();
    if (auto refusal = co_await reserveSlot(decode)) {
        enqueue(PrefillEnded { task->number, std::move(*refusal), true });
        co_return;
    }
    if (!isCurrent(*task))
        co_return;
    if (m_context.backendProtocol.reserveSlot)
        m_service->handleEvent(SlotReserved { m_id, m_attempt });
    if (auto refusal = checkAccepting(replica.id)) {
        enqueue(PrefillEnded { task->number, std::move(*refusal) });
        co_return;
    }
    call.deadlineMs = remainingMs();
    task->calledAt = monotonicNow();
    observeResponses(call);
    auto result = co_await m_context.backendProtocol.prefill(m_exchange.client(), replica.backend, std::move(call), m_timeouts.prefill);
    countBackendCall(result);
    enqueue(PrefillEnded { task->number, std::move(result) });
}

auto ModelRequest::runDecode(std::shared_ptr<Task> task, ReplicaStatus replica, EngineCall call, bool needsSlot) -> asio::awaitable<void>
{
    co_await asio::this_coro::throw_if_cancelled(false);
    const auto self = shared_from_this();
    if (needsSlot) {
        if (auto refusal = co_await reserveSlot(replica)) {
            enqueue(DecodeEnded { task->number, { std::move(*refusal) }, true });
            co_return;
        }
        if (!isCurrent(*task))
            co_return;
        if (auto refusal = checkAccepting(replica.id)) {
            enqueue(DecodeEnded { task->number, { std::move(*refusal) }, true });
            co_return;
        }
        m_service->handleEvent(SlotReserved { m_id, m_attempt });
        if (m_slot)
            call.slot = std::exchange(m_slot, std::nullopt)->name;
    }
    if (auto refusal = checkAccepting(replica.id)) {
        enqueue(DecodeEnded { task->number, { std::move(*refusal) } });
        co_return;
    }
    const auto usesPrefill = call.kv.has_value();
    call.deadlineMs = remainingMs();
    task->calledAt = monotonicNow();
    observeResponses(call);
    const auto stream = co_await m_context.backendProtocol.decode(m_exchange.client(), replica.backend, std::move(call), m_timeouts.firstToken);
    countBackendCall(stream);
    if (stream.has_error()) {
        enqueue(DecodeEnded { task->number, { stream.error() } });
        co_return;
    }
    // A task that was stopped while it waited for the engine must not relay.
    if (!isCurrent(*task))
        co_return;
    m_isPrefillFetched = m_isPrefillFetched || usesPrefill;
    // Another process that takes the stream up must find its version. An interruption ends the wait as long as the task
    // has no stream.
    const auto maySend = co_await waitForRecord(*task, replica.backend.softwareVersion);
    if (!maySend || !isCurrent(*task)) {
        (*stream)->close();
        enqueue(DecodeEnded { task->number, { EngineError { FailureKind::ConnectionLost, "the attempt was interrupted" } } });
        co_return;
    }
    m_writer->begin((*stream)->headers());
    task->stream = *stream;
    auto outcome = co_await relay(task, replica.backend.softwareVersion);
    if (outcome.isEmpty && isCurrent(*task)) {
        m_service->metrics().emptyResumptions.fetch_add(1, std::memory_order_relaxed);
        (*stream)->release();
        if (auto confirmed = co_await confirmEnd(task, replica))
            outcome = std::move(*confirmed);
    } else {
        endStream(**stream, outcome);
    }
    enqueue(DecodeEnded { task->number, std::move(outcome) });
}

auto ModelRequest::confirmEnd(std::shared_ptr<Task> task, ReplicaStatus replica) -> asio::awaitable<std::optional<RelayResult>>
{
    task->stream.reset();
    const auto recordUnconfirmed = [this](const EngineError& error) {
        record(LogLevel::Info, "end_not_confirmed", { { "failure", name(error.failure) }, { "detail", error.detail }, { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    };
    if (const auto refusal = checkAccepting(replica.id)) {
        recordUnconfirmed(*refusal);
        co_return std::nullopt;
    }
    if (!m_service->tryConsumeRetry(replica.id)) {
        recordUnconfirmed({ FailureKind::Busy, "no retry is left for the engine" });
        co_return std::nullopt;
    }
    if (const auto refusal = co_await reserveSlot(replica)) {
        recordUnconfirmed(*refusal);
        co_return std::nullopt;
    }
    if (!isCurrent(*task))
        co_return std::nullopt;
    auto call = engineCall(m_relay.tokensBeforeLast());
    if (m_slot)
        call.slot = std::exchange(m_slot, std::nullopt)->name;
    call.deadlineMs = remainingMs();
    task->calledAt = monotonicNow();
    observeResponses(call);
    const auto stream = co_await m_context.backendProtocol.decode(m_exchange.client(), replica.backend, std::move(call), m_timeouts.firstToken);
    countBackendCall(stream);
    if (stream.has_error()) {
        recordUnconfirmed(stream.error());
        co_return std::nullopt;
    }
    if (!isCurrent(*task))
        co_return std::nullopt;
    task->stream = *stream;
    auto outcome = co_await relay(task, replica.backend.softwareVersion);
    endStream(**stream, outcome);
    if (outcome.error)
        recordUnconfirmed(*outcome.error);
    else
        record(LogLevel::Info, "end_confirmed", { { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    co_return outcome;
}

auto ModelRequest::relay(std::shared_ptr<Task> task, std::string version) -> asio::awaitable<RelayResult>
{
    const auto stream = task->stream;
    DecodeRelay::Observer observer {
        [this, resumedFrom = m_relay.tokens(), version = std::move(version)] {
            bindToVersion(version);
            recordFirstToken(resumedFrom);
            dropFallback("replaced");
            m_service->handleEvent(DecodeStarted { m_id, m_attempt });
        },
        [this](std::uint32_t total) { m_service->handleEvent(TokensEmitted { m_id, m_attempt, total * m_tokensPerEvent }); },
        [this, task] { return !isCurrent(*task); },
    };
    const auto reader = m_context.backendProtocol.makeEventReader();
    auto outcome = co_await m_relay.run(*stream, *reader, std::move(observer));
    co_return outcome;
}

auto ModelRequest::recordFirstToken(std::uint32_t resumedFrom) -> void
{
    if (resumedFrom == 0) {
        record(LogLevel::Debug, "first_token");
        return;
    }
    m_service->metrics().resumed.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Info, "stream_resumed", { { "token", resumedFrom } });
}

}
