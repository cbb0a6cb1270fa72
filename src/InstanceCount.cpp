#include "InstanceCount.h"

#include <algorithm>

namespace jayhold {

namespace {

auto isLive(const InstanceCount& count, const InstanceCount::Observation& observation, TimePoint now) -> bool
{
    return now - observation.observedAt < count.lifetime;
}

}

auto recordInstance(InstanceCount& count, TimePoint now, const std::string& name, std::int64_t revision, std::optional<HttpEndpoint> endpoint, std::string availabilityZone) -> void
{
    auto [entry, isNew] = count.instances.try_emplace(name, InstanceCount::Observation { revision, now, endpoint, availabilityZone });
    if (!isNew && entry->second.revision != revision)
        entry->second = { revision, now, std::move(endpoint), std::move(availabilityZone) };
}

auto liveInstances(const InstanceCount& count, TimePoint now) -> std::uint32_t
{
    const auto live = std::ranges::count_if(count.instances, [&](const auto& entry) { return isLive(count, entry.second, now); });
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(live));
}

auto livePeers(const InstanceCount& count, TimePoint now) -> std::vector<PeerAddress>
{
    std::vector<PeerAddress> peers;
    for (const auto& [name, observation] : count.instances) {
        if (isLive(count, observation, now) && observation.endpoint)
            peers.push_back({ *observation.endpoint, observation.availabilityZone });
    }
    return peers;
}

}
