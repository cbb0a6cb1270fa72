#include "PlainService.h"

namespace jayhold {

auto PlainService::recordSpeed(const PlainCallInfo& call, const BackendServer& server, Duration duration, const PlainAttempt& attempt, bool wasGivenUp) -> void
{
    const auto seconds = std::chrono::duration<double>(duration).count();
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    auto& reference = m_callReferences[call.kind.name];
    if (attempt.isFinal)
        m_balancer.recordSpeed(now, server, addToReference(reference, now, 1, seconds), seconds);
    else if (const auto expected = secondsAtMeanSpeed(reference, 1); wasGivenUp && seconds > expected)
        m_balancer.recordSpeed(now, server, expected, seconds);
}

auto PlainService::meanCallTimeLocked(const PlainCallInfo& call) const -> Duration
{
    const auto reference = m_callReferences.find(call.kind.name);
    const auto seconds = reference == m_callReferences.end() ? 0 : secondsAtMeanSpeed(reference->second, 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

auto PlainService::observedSpeeds() const -> std::vector<SpeedReport>
{
    std::vector<SpeedReport> reports;
    const std::lock_guard guard(m_lock);
    for (const auto& backend : m_balancer.backends()) {
        if (const auto observed = observedSpeed(backend.speed, monotonicNow()); isReportable(observed))
            reports.push_back({ backend.server.id, backend.server.incarnation, WorkType::Call, observed.speed, observed.observed, observed.age });
    }
    return reports;
}

auto PlainService::handleSpeedReports(std::uint64_t sender, std::span<const SpeedReport> reports) -> void
{
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    for (const auto& report : reports) {
        if (report.work == WorkType::Call)
            m_balancer.addReportedSpeed(now, report.backend, report.incarnation, heardSpeed(report, sender, now));
    }
}

auto PlainService::speedSummary() const -> SpeedSummary
{
    SpeedSummary summary;
    const std::lock_guard guard(m_lock);
    for (const auto& backend : m_balancer.backends()) {
        if (backend.server.state == ReplicaState::Live)
            addSpeed(summary, expectedSpeed(backend.speed, monotonicNow(), Duration::zero()));
    }
    return summary;
}

}
