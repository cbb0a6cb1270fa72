#include "ModelRequestTasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Prefill results and reserved slots expire within two seconds, so a longer timeout would release nothing
/// sooner.
constexpr Duration releaseTimeout = std::chrono::seconds(1);

/// Uses no member of the request, because the request may end before the call does.
auto runRelease(EventLog& log, std::string requestId, std::string what, std::string backend, asio::awaitable<bool> call) -> asio::awaitable<void>
{
    const auto isDone = co_await std::move(call);
    if (!isDone)
        log.record(LogLevel::Info, "release_failed", { { "request", requestId }, { "what", what }, { "backend", backend } });
}

}

auto ModelRequest::reserveSlot(const std::optional<ReplicaStatus>& decode) -> asio::awaitable<std::optional<EngineError>>
{
    const auto time = m_service->slotReservationTime();
    if (!m_context.backendProtocol.reserveSlot || time <= Duration::zero() || !decode)
        co_return std::nullopt;
    auto reservation = co_await m_context.backendProtocol.reserveSlot(m_exchange.client(), decode->backend, m_decodeTokens, time, m_timeouts.slotReservation, m_context.handleNotice);
    if (reservation.has_error())
        co_return reservation.error();
    m_slot = SlotHandle { decode->backend, decode->id, std::move(*reservation) };
    co_return std::nullopt;
}

auto ModelRequest::recordSlotRefusal(const EngineError& error) -> void
{
    // A slot can be refused many times in a burst, so only the first refusal is logged at level Info; the
    // later events of the request carry the number of refusals.
    const auto level = ++m_slotRefusals == 1 ? LogLevel::Info : LogLevel::Debug;
    record(level, "seat_refused", { { "failure", name(error.failure) }, { "detail", error.detail }, { "tokens", m_decodeTokens } });
    m_service->handleEvent(SlotRefused { m_id, m_attempt, error.failure });
}

auto ModelRequest::releasePrefillResult() -> void
{
    const auto release = m_context.backendProtocol.releasePrefill;
    const auto source = m_prefill && release && !m_isPrefillFetched ? m_service->replica(m_prefillReplica) : std::nullopt;
    if (source)
        releaseInBackground("prefill_result", source->backend, release(m_exchange.client(), source->backend, m_prefill->handle, releaseTimeout, m_context.handleNotice));
    m_prefill.reset();
    m_isPrefillFetched = false;
}

auto ModelRequest::releaseSlot() -> void
{
    const auto releaseOnEngine = m_context.backendProtocol.releaseSlot;
    if (m_slot && releaseOnEngine)
        releaseInBackground("seat", m_slot->server, releaseOnEngine(m_exchange.client(), m_slot->server, m_slot->name, releaseTimeout, m_context.handleNotice));
    m_slot.reset();
}

auto ModelRequest::releaseInBackground(std::string_view what, const BackendServer& server, asio::awaitable<bool> call) -> void
{
    asio::co_spawn(m_tasks->executor, runRelease(m_context.log, callerRequestId(), std::string(what), server.id, std::move(call)), asio::detached);
}

}
