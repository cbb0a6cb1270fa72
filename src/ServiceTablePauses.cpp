#include "ServiceTable.h"

#include <algorithm>

namespace jayhold {

namespace {

/// The responses to the requests that are under way at the start of a pause extend it by less than this.
constexpr Duration minLoggedExtension = std::chrono::milliseconds(100);

auto milliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}

auto ServiceTable::recordPauseLocked(const BackendServer& server, Duration delay) -> void
{
    const auto now = monotonicNow();
    const auto before = pauseOf(m_pauses, now, server.id, server.incarnation);
    const auto pause = recordPause(m_pauses, now, server.id, server.incarnation, delay);
    if (!pause)
        return;
    for (const auto& [name, model] : m_modelServices)
        model.service->applyPause(server, *pause);
    for (const auto& [name, plain] : m_plainServices)
        plain->applyPause(server, *pause);
    if (before && pause->until - before->until < minLoggedExtension)
        return;
    ++m_pauseCount;
    m_context.log.record(LogLevel::Info, "backend_paused", { { "backend", server.id }, { "incarnation", server.incarnation }, { "asked_ms", milliseconds(delay) }, { "pause_ms", milliseconds(pause->until - now) }, { "extended", before.has_value() } });
}

auto ServiceTable::handleReturn(const BackendServer& server) -> void
{
    const std::lock_guard guard(m_lock);
    endPause(m_pauses, monotonicNow(), server.id, server.incarnation);
    m_context.log.record(LogLevel::Info, "backend_returned", { { "backend", server.id }, { "incarnation", server.incarnation } });
}

auto ServiceTable::updatePausesLocked() -> void
{
    const auto now = monotonicNow();
    forgetEndedPauses(m_pauses, now);
    handleMissing(m_pauses, now, [this](const std::string& id, const std::string& incarnation) {
        return std::ranges::any_of(m_backends, [&](const BackendServer& server) { return server.id == id && server.incarnation == incarnation && server.state != ReplicaState::Gone; });
    });
}

auto ServiceTable::addPauseSamplesLocked(std::vector<Metrics::Sample>& samples) const -> void
{
    samples.push_back({ "jayhold_backend_pauses_total", "Pauses that backend servers have asked for.", static_cast<double>(m_pauseCount), true });
    const auto now = monotonicNow();
    for (const auto& [process, entry] : m_pauses.entries) {
        if (entry.pause.until > now)
            samples.push_back({ "jayhold_backend_pause_seconds", "Time until the end of a backend server's pause.", std::chrono::duration<double>(entry.pause.until - now).count(), false, "backend", process.first });
    }
}

}
