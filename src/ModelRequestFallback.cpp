#include "ModelRequestTasks.h"

namespace jayhold {

namespace asio = boost::asio;

auto ModelRequest::keepAsFallback() -> void
{
    auto& tasks = *m_tasks;
    const auto task = tasks.current;
    // Two attempts must not write to the caller at the same time.
    const auto canWait = task && task->isRunning && task->stream && !m_relay.isSending();
    if (!canWait) {
        if (task)
            interrupt(*task);
        m_service->handleEvent(FallbackEnded { m_id, m_attempt });
        return;
    }
    tasks.fallback = std::exchange(tasks.current, nullptr);
    recordInterruption();
    record(LogLevel::Info, "fallback_kept", { { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
}

auto ModelRequest::continueFallback(ReturnToFallback action) -> asio::awaitable<void>
{
    co_await stopTask();
    releasePrefillResult();
    releaseSlot();
    recordInterruption();
    m_attempt = action.attempt;
    if (!m_machine.apply(RequestTransition::DecodeStarted))
        co_return;
    if (!m_tasks->fallback) {
        const auto task = addTask(action.replica, false);
        enqueue(DecodeEnded { task->number, { EngineError { FailureKind::NotConnected, "the fallback has ended" } } });
        co_return;
    }
    const auto task = std::exchange(m_tasks->fallback, nullptr);
    m_tasks->current = task;
    m_tasks->replica = task->replica;
    m_backend = task->backend;
    m_service->metrics().fallbackReturns.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Info, "fallback_continued", { { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    watchSilence(monotonicNow() + silenceCheckInterval);
}

auto ModelRequest::endFallback(DecodeEnded ended) -> asio::awaitable<void>
{
    if (ended.outcome.error || ended.outcome.isCallerDisconnected) {
        dropFallback(ended.outcome.error ? ended.outcome.error->detail : "disconnected");
        co_return;
    }
    const auto task = std::exchange(m_tasks->fallback, nullptr);
    co_await stopTask();
    recordInterruption();
    if (!m_machine.apply(RequestTransition::DecodeStarted))
        co_return;
    m_backend = task->backend;
    m_service->metrics().fallbackCompletions.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Info, "fallback_finished", { { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    co_await finish(FallbackFinished { m_id, tokensSent() });
}

auto ModelRequest::dropFallback(std::string_view reason) -> void
{
    const auto task = std::exchange(m_tasks->fallback, nullptr);
    if (!task)
        return;
    interrupt(*task);
    record(LogLevel::Info, "fallback_ended", { { "fallback", task->backend }, { "reason", reason }, { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    m_service->handleEvent(FallbackEnded { m_id, task->attempt });
}

}
