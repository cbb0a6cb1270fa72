#include "InstanceCount.h"

#include "StoreRevision.h"

#include <algorithm>
#include <set>

namespace jayhold {

namespace {

auto isHeard(const InstanceCount& count, const std::string& name, TimePoint now) -> bool
{
    const auto heard = count.heardAt.find(name);
    return heard != count.heardAt.end() && now - heard->second < count.lifetime;
}

auto isLive(const InstanceCount& count, const std::string& name, TimePoint now) -> bool
{
    const auto entry = count.instances.find(name);
    return isHeard(count, name, now) || (entry != count.instances.end() && now - entry->second.observedAt < count.lifetime);
}

}

auto beginList(InstanceCount& count, TimePoint now) -> void
{
    const auto unread = count.listedAt ? now - *count.listedAt - count.maxListInterval : Duration::zero();
    if (unread > Duration::zero()) {
        for (auto& [name, observation] : count.instances)
            observation.observedAt += unread;
    }
    count.listedAt = now;
    std::erase_if(count.heardAt, [&](const auto& heard) { return now - heard.second >= count.lifetime; });
}

auto recordInstance(InstanceCount& count, TimePoint now, const std::string& name, std::int64_t revision, std::optional<HttpEndpoint> endpoint, std::string availabilityZone) -> void
{
    auto [entry, isNew] = count.instances.try_emplace(name, InstanceCount::Observation { revision, now, endpoint, availabilityZone });
    if (isNew || entry->second.revision == revision)
        return;
    // After a restore of the store, a record may be an old one, which does not show that its instance lives.
    if (historyOf(entry->second.revision) < historyOf(revision))
        entry->second.revision = revision;
    else
        entry->second = { revision, now, std::move(endpoint), std::move(availabilityZone) };
}

auto recordMessage(InstanceCount& count, TimePoint now, const std::string& name) -> bool
{
    const auto isNew = !isLive(count, name, now);
    count.heardAt[name] = now;
    return isNew;
}

auto liveInstanceNames(const InstanceCount& count, TimePoint now) -> std::vector<std::string>
{
    std::set<std::string> names;
    for (const auto& [name, observation] : count.instances) {
        if (isLive(count, name, now))
            names.insert(name);
    }
    for (const auto& [name, heardAt] : count.heardAt) {
        if (isHeard(count, name, now))
            names.insert(name);
    }
    return { names.begin(), names.end() };
}

auto liveInstances(const InstanceCount& count, TimePoint now) -> std::uint32_t
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(liveInstanceNames(count, now).size()));
}

auto livePeers(const InstanceCount& count, TimePoint now) -> std::vector<PeerAddress>
{
    std::vector<PeerAddress> peers;
    for (const auto& [name, observation] : count.instances) {
        if (isLive(count, name, now) && observation.endpoint)
            peers.push_back({ *observation.endpoint, observation.availabilityZone, name });
    }
    return peers;
}

}
