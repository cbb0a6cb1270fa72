#include "ModelRequestTasks.h"

#include "ExceptionText.h"

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

auto ModelRequest::requestSlot(HttpClient& client, ReplicaStatus decode, SlotMemory memory) -> asio::awaitable<EngineResult<SlotHandle>>
{
    if (m_service->isPaused(decode.id))
        co_return pausedError();
    const auto& protocol = m_context.backendProtocol;
    const auto time = m_service->slotReservationTime();
    auto reservation = co_await protocol.reserveSlot(client, decode.backend, memory.freeTokens, time, m_timeouts.slotReservation, m_context.handleNotice);
    if (reservation.has_error())
        co_return reservation.error();
    SlotHandle slot { decode.backend, decode.id, std::move(*reservation) };
    // The engine had the room for growth, which stays free for the answers that run there. A reservation that can't be
    // replaced by a smaller one now is used, or released, as it is.
    if (memory.reservedTokens >= memory.freeTokens || checkAccepting(decode.id))
        co_return slot;
    const auto isReleased = co_await protocol.releaseSlot(client, decode.backend, slot.name, m_timeouts.slotReservation, m_context.handleNotice);
    if (!isReleased)
        co_return slot;
    if (auto refusal = checkAccepting(decode.id))
        co_return std::move(*refusal);
    reservation = co_await protocol.reserveSlot(client, decode.backend, memory.reservedTokens, time, m_timeouts.slotReservation, m_context.handleNotice);
    if (reservation.has_error())
        co_return reservation.error();
    slot.name = std::move(*reservation);
    co_return slot;
}

auto ModelRequest::reserveSlot(const std::optional<ReplicaStatus>& decode) -> asio::awaitable<std::optional<EngineError>>
{
    if (!m_context.backendProtocol.reserveSlot || m_service->slotReservationTime() <= Duration::zero() || !decode || m_slot)
        co_return std::nullopt;
    auto slot = co_await requestSlot(m_exchange.client(), *decode, m_slotMemory);
    if (slot.has_error())
        co_return slot.error();
    m_slot = std::move(*slot);
    co_return std::nullopt;
}

auto ModelRequest::checkAccepting(ReplicaId replica) const -> std::optional<EngineError>
{
    if (!m_service->isLive(replica))
        return EngineError { FailureKind::NotConnected, "the backend server is leaving" };
    if (m_service->isPaused(replica))
        return pausedError();
    return std::nullopt;
}

auto ModelRequest::pausedError() -> EngineError
{
    return { FailureKind::Paused, "the engine has asked for a pause", nullptr };
}

auto ModelRequest::recordSlotRefusal(const EngineError& error) -> void
{
    // A slot can be refused many times in a burst, so only the first refusal is logged at level Info; the
    // later events of the request carry the number of refusals.
    const auto level = ++m_slotRefusals == 1 ? LogLevel::Info : LogLevel::Debug;
    record(level, "seat_refused", { { "failure", name(error.failure) }, { "detail", error.detail }, { "tokens", m_slotMemory.freeTokens } });
    m_service->handleEvent(SlotRefused { m_id, m_attempt, error.failure });
}

auto ModelRequest::releasePrefillResult() -> void
{
    const auto release = m_context.backendProtocol.releasePrefill;
    const auto source = m_prefill && release && !m_isPrefillFetched ? m_service->replica(m_prefillReplica) : std::nullopt;
    // The result expires by itself. An engine that has asked for a pause gets no control calls either.
    if (source && !m_service->isPaused(m_prefillReplica))
        releaseInBackground("prefill_result", source->backend, release(m_exchange.client(), source->backend, m_prefill->handle, releaseTimeout, m_context.handleNotice));
    m_prefill.reset();
    m_isPrefillFetched = false;
}

auto ModelRequest::releaseSlotAt(HttpClient& client, const SlotHandle& slot) -> void
{
    const auto releaseOnEngine = m_context.backendProtocol.releaseSlot;
    if (releaseOnEngine && !m_service->isPaused(slot.replica))
        releaseInBackground("seat", slot.server, releaseOnEngine(client, slot.server, slot.name, releaseTimeout, m_context.handleNotice));
}

auto ModelRequest::releaseSlot() -> void
{
    if (m_slot)
        releaseSlotAt(m_exchange.client(), *m_slot);
    m_slot.reset();
}

auto ModelRequest::releaseReplacement() -> void
{
    if (m_replacement && m_replacement->slot)
        releaseSlotAt(m_exchange.client(), *m_replacement->slot);
    if (m_replacement)
        record(LogLevel::Info, "replacement_released", { { "replacement", m_replacement->slot ? m_replacement->slot->server.id : "" }, { "tokens", m_relay.tokens() } });
    m_replacement.reset();
}

auto ModelRequest::takeSlot(ReplacementNumber number) -> void
{
    releaseSlot();
    if (m_replacement && m_replacement->number == number)
        m_slot = std::move(std::exchange(m_replacement, std::nullopt)->slot);
}

auto ModelRequest::beginReservation(const ReserveReplacement& action) -> void
{
    m_replacement = ReplacementSlot { action.number, std::nullopt };
    const auto decode = m_service->replica(action.decode);
    record(LogLevel::Info, "replacement_requested", { { "replacement", decode ? decode->backend.id : "" }, { "decode_tokens", action.slot.reservedTokens }, { "free_tokens", action.slot.freeTokens }, { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    if (!decode) {
        refuseReplacement(action.number, { FailureKind::NotConnected, "the backend server was removed" });
        return;
    }
    auto onEnd = [self = shared_from_this(), number = action.number](const std::exception_ptr& thrown) {
        if (!thrown)
            return;
        const EngineError error { FailureKind::ServerError, exceptionText(thrown) };
        self->record(LogLevel::Error, "task_failed", { { "task", "reservation" }, { "detail", error.detail } });
        self->refuseReplacement(number, error);
    };
    asio::co_spawn(m_tasks->executor, runReservation(m_exchange.client(), action, *decode), std::move(onEnd));
}

auto ModelRequest::runReservation(HttpClient& client, ReserveReplacement action, ReplicaStatus decode) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto slot = co_await requestSlot(client, decode, action.slot);
    if (slot.has_error()) {
        refuseReplacement(action.number, slot.error());
        co_return;
    }
    if (!m_replacement || m_replacement->number != action.number) {
        releaseSlotAt(client, *slot);
        co_return;
    }
    m_replacement->slot = std::move(*slot);
    record(LogLevel::Info, "replacement_reserved", { { "replacement", decode.backend.id }, { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    m_service->handleEvent(ReplacementReserved { m_id, action.number, tokensSent() });
}

auto ModelRequest::refuseReplacement(ReplacementNumber number, const EngineError& error) -> void
{
    if (!m_replacement || m_replacement->number != number)
        return;
    m_replacement.reset();
    record(LogLevel::Info, "replacement_refused", { { "failure", name(error.failure) }, { "detail", error.detail }, { "tokens", m_relay.tokens() }, { "left_ms", remainingMs() } });
    m_service->handleEvent(ReplacementRefused { m_id, number, error.failure });
}

auto ModelRequest::releaseInBackground(std::string_view what, const BackendServer& server, asio::awaitable<bool> call) -> void
{
    asio::co_spawn(m_tasks->executor, runRelease(m_context.log, callerRequestId(), std::string(what), server.id, std::move(call)), asio::detached);
}

}
