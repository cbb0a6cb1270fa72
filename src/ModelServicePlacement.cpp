#include "ModelService.h"

namespace jayhold {

namespace {

/// An open request takes 0.6 KB of the shard, so a copy takes up to 6 MB beside its tables, and 10 ms with the lock held.
constexpr std::size_t maxCopiedRequests = 10'000;

}

auto ModelService::explainPlacement(RequestArrived arrived, const std::optional<std::string>& boundVersion) const -> std::optional<ModelPlacement>
{
    const std::unique_lock explaining(m_explanationLock, std::try_to_lock);
    if (!explaining)
        return std::nullopt;
    ModelPlacement placement;
    Shard copy;
    TimePoint now;
    {
        const std::lock_guard guard(m_lock);
        if (m_requests.size() > maxCopiedRequests)
            return std::nullopt;
        for (const auto& [id, status] : m_replicas)
            placement.servers.emplace(id, ModelPlacement::Server { status.backend.id, status.backend.availabilityZone });
        arrived.request = static_cast<RequestId>(m_lastRequest + 1);
        if (boundVersion) {
            // A version that the service has not met yet gets the identifier that it would get with the request.
            const auto known = m_versions.find(*boundVersion);
            arrived.boundVersion = known == m_versions.end() ? static_cast<SoftwareVersionId>(m_versions.size()) : known->second;
        }
        copy = copyOf(m_shard);
        now = monotonicNow();
    }
    placement.explanation = explainArrival(std::move(copy), now, arrived);
    return placement;
}

}
