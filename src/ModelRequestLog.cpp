#include "ModelRequest.h"

#include "Hexadecimal.h"
#include "ModelRequestTasks.h"

namespace jayhold {

auto ModelRequest::recordAttemptFailure(std::string_view phase, const EngineError& error) -> void
{
    m_service->metrics().failedAttempts.fetch_add(1, std::memory_order_relaxed);
    if (error.failure == FailureKind::Leaving)
        m_context.reportLeaving(m_backend);
    m_failedResponse = error.response;
    const auto budget = m_service->retryBudget();
    record(LogLevel::Info, std::string(phase) + "_failed", { { "failure", name(error.failure) }, { "detail", error.detail }, { "tokens", m_relay.tokens() }, { "retries_left", budget.remaining() }, { "retry_capacity", budget.capacity() }, { "prompt_parts", m_info.forwarded ? toHexadecimal(m_info.forwarded->promptParts) : "" } });
}

auto ModelRequest::reportFailure(bool isPrefill, const EngineError& error, bool isSlotRefused) -> void
{
    if (isSlotRefused && !m_tasks->fallback) {
        recordSlotRefusal(error);
        return;
    }
    recordAttemptFailure(isPrefill ? "prefill" : "decode", error);
    if (m_tasks->fallback)
        m_service->handleEvent(ReplacementFailed { m_id, m_attempt, error.failure, tokensSent() });
    else if (isPrefill)
        m_service->handleEvent(PrefillFailed { m_id, m_attempt, error.failure });
    else
        m_service->handleEvent(DecodeFailed { m_id, m_attempt, error.failure, tokensSent() });
}

auto ModelRequest::tryConsumeResend() -> bool
{
    if (!m_service->tryConsumeRetry(m_tasks->replica))
        return false;
    m_service->metrics().resentCalls.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Info, "call_resent");
    return true;
}

auto ModelRequest::callerRequestId() const -> std::string
{
    return m_info.forwarded ? m_info.forwarded->requestId : m_service->engineRequestId(m_id, m_attempt);
}

auto ModelRequest::recordRefusal(const ApiError& error) -> void
{
    if (const auto by = m_refusalInputs.displacedBy) {
        const auto rank = toString(m_refusalInputs.rank);
        m_context.metrics.countDisplaced(m_service->name(), m_info.kindSettings.name, rank);
        const auto waited = monotonicNow() - m_info.arrivedAt;
        record(LogLevel::Info, "request_displaced", { { "rank", rank }, { "by_rank", toString(*by) }, { "queued", m_refusalInputs.queued }, { "waited_ms", waited.count() / 1'000 } });
    }
    auto& metrics = m_service->metrics();
    auto& counter = error.outcome == ExecutionOutcome::NotRun ? metrics.refusedNotRun : metrics.refusedUnknown;
    counter.fetch_add(1, std::memory_order_relaxed);
    m_context.metrics.countRefusal(error.type);
    const auto remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_info.deadline - monotonicNow());
    recordDecision(LogLevel::Info, "request_refused", { { "reason", error.type }, { "ran", error.outcome == ExecutionOutcome::NotRun ? "no" : "unknown" }, { "left_ms", remainingTime.count() }, { "seat_refusals", m_slotRefusals }, { "queued", m_refusalInputs.queued }, { "wait_ms", m_refusalInputs.wait.count() / 1'000 }, { "needed_ms", m_refusalInputs.needed.count() / 1'000 }, { "failures", m_refusalInputs.failures }, { "attempts_not_run", m_refusalInputs.attemptsNotRun }, { "retries_taken", m_refusalInputs.consumedRetries }, { "retries_left", m_refusalInputs.remainingRetries }, { "retry_after_ms", error.retryAfter.count() / 1'000 } });
}

auto ModelRequest::record(LogLevel level, std::string_view event, std::initializer_list<LogField> details) -> void
{
    m_context.log.record(level, event, fieldsOf(details));
}

auto ModelRequest::recordDecision(LogLevel level, std::string_view event, std::initializer_list<LogField> details) -> void
{
    auto fields = fieldsOf(details);
    addFreshnessFields(m_context, fields);
    m_context.log.record(level, event, fields);
}

auto ModelRequest::fieldsOf(std::initializer_list<LogField> details) const -> std::vector<LogField>
{
    std::vector<LogField> fields { { "request", callerRequestId() }, { "service", m_service->name() }, { "kind", m_info.kindSettings.name } };
    if (!m_info.customerName.empty())
        fields.emplace_back("customer", m_info.customerName);
    fields.emplace_back("attempt", m_attempt);
    fields.emplace_back("backend", m_backend);
    fields.insert(fields.end(), details.begin(), details.end());
    return fields;
}

}
