#include "InstanceCount.h"

#include <algorithm>

namespace jayhold {

namespace {

auto isLive(const InstanceCount& count, const InstanceCount::Seen& seen, TimePoint now) -> bool
{
    return now - seen.at < count.lifetime;
}

}

auto noteInstance(InstanceCount& count, TimePoint now, const std::string& name, std::int64_t revision, std::optional<HttpEndpoint> endpoint) -> void
{
    auto [entry, isNew] = count.instances.try_emplace(name, InstanceCount::Seen { revision, now, endpoint });
    if (!isNew && entry->second.revision != revision)
        entry->second = { revision, now, std::move(endpoint) };
}

auto liveInstances(const InstanceCount& count, TimePoint now) -> std::uint32_t
{
    const auto live = std::ranges::count_if(count.instances, [&](const auto& entry) { return isLive(count, entry.second, now); });
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(live));
}

auto liveEndpoints(const InstanceCount& count, TimePoint now) -> std::vector<HttpEndpoint>
{
    std::vector<HttpEndpoint> endpoints;
    for (const auto& [name, seen] : count.instances) {
        if (isLive(count, seen, now) && seen.endpoint)
            endpoints.push_back(*seen.endpoint);
    }
    return endpoints;
}

}
