#include "ModelService.h"

namespace jayhold {

auto ModelService::observedSpeeds() const -> std::vector<SpeedReport>
{
    std::vector<SpeedReport> reports;
    const std::lock_guard guard(m_lock);
    for (const auto& [replica, work, observed] : jayhold::observedSpeeds(m_shard, monotonicNow())) {
        if (const auto known = m_replicas.find(replica); known != m_replicas.end())
            reports.push_back({ known->second.backend.id, known->second.backend.incarnation, work, observed.speed, observed.observed, observed.age });
    }
    return reports;
}

auto ModelService::handleSpeedReports(std::uint64_t sender, std::span<const SpeedReport> reports) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        const auto now = monotonicNow();
        for (const auto& report : reports) {
            const auto known = m_replicaIds.find(report.backend);
            if (known == m_replicaIds.end() || m_replicas.at(known->second).backend.incarnation != report.incarnation)
                continue;
            decideLocked(ReplicaSpeedReported { known->second, report.work, heardSpeed(report, sender, now) }, outbox);
        }
    }
    send(std::move(outbox));
}

auto ModelService::speedSummary() const -> SpeedSummary
{
    const std::lock_guard guard(m_lock);
    return summarizeSpeeds(m_shard);
}

}
