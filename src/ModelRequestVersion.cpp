#include "ModelRequestTasks.h"
#include "StreamVersions.h"

#include <utility>

namespace jayhold {

auto ModelRequest::bindToVersion(const std::string& version) -> void
{
    if (!m_boundVersion)
        m_boundVersion = version;
    if (canBeTakenUp())
        m_context.streamVersions->handleFirstEvent(callerRequestId());
}

auto ModelRequest::reportBinding() -> void
{
    // The shard knows the version of a stream that is taken up from its arrival.
    if (m_boundVersion && !m_info.boundVersion)
        m_service->handleEvent(StreamBound { m_id, m_service->versionId(*m_boundVersion), tokensSent() });
}

auto ModelRequest::checkVersion(const ReplicaStatus& replica) -> std::optional<EngineError>
{
    if (!m_boundVersion || *m_boundVersion == replica.backend.softwareVersion)
        return std::nullopt;
    m_service->metrics().otherVersionAttempts.fetch_add(1, std::memory_order_relaxed);
    record(LogLevel::Warning, "attempt_not_sent", { { "decode_backend", replica.backend.id }, { "software_version", replica.backend.softwareVersion }, { "bound_version", boundVersionText() }, { "tokens", m_relay.tokens() } });
    return EngineError { FailureKind::OtherVersion, "the engine has another software version than the one that began the stream", nullptr };
}

auto ModelRequest::canBeTakenUp() const -> bool
{
    // A response that takes up another one is not taken up itself: the caller names the first one.
    return m_context.streamVersions && m_info.kindSettings.repeatable && m_info.forwarded && !m_info.forwarded->lastToken;
}

auto ModelRequest::announceVersion(const std::optional<ReplicaStatus>& replica) -> void
{
    if (replica && canBeTakenUp() && !m_relay.hasSentTokens())
        m_context.streamVersions->announce(m_service->name(), callerRequestId(), replica->backend.softwareVersion);
}

auto ModelRequest::waitForRecord(Task& task, std::string version) -> boost::asio::awaitable<bool>
{
    if (!canBeTakenUp() || m_relay.hasSentTokens())
        co_return true;
    task.isWaitingForRecord = true;
    const auto maySend = co_await m_context.streamVersions->waitForRecord(std::string(m_service->name()), callerRequestId(), std::move(version));
    task.isWaitingForRecord = false;
    task.calledAt = monotonicNow();
    co_return maySend;
}

auto ModelRequest::boundVersionText() const -> std::string
{
    return m_boundVersion.value_or("");
}

}
