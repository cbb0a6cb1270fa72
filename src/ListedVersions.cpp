#include "ListedVersions.h"

#include <algorithm>

namespace jayhold {

namespace {

/// All tries of a caller lie within the deadline of its first attempt. The slack is for the way of a request and for the
/// time until all instances have the same list of servers.
constexpr Duration lifetimeSlack = std::chrono::seconds(5);

}

auto listedVersions(const Configuration& configuration, std::span<const BackendServer> servers) -> std::map<std::string, ListedVersions>
{
    std::map<std::string, ListedVersions> versions;
    std::map<std::string_view, std::pair<const Service*, const Pool*>> pools;
    for (const auto& service : configuration.services) {
        if (service.type != ServiceType::Model)
            continue;
        versions[service.name];
        for (const auto& pool : service.pools)
            pools[pool.name] = { &service, &pool };
    }
    for (const auto& server : servers) {
        const auto found = pools.find(server.pool);
        if (found == pools.end() || server.state == ReplicaState::Gone)
            continue;
        auto& listed = versions[found->second.first->name];
        listed.all.insert(server.softwareVersion);
        if (server.state == ReplicaState::Live && found->second.second->role == PoolRole::Decode)
            listed.serving.insert(server.softwareVersion);
    }
    return versions;
}

auto streamLifetimes(const Configuration& configuration) -> std::map<std::string, Duration>
{
    std::map<std::string, Duration> lifetimes;
    for (const auto& service : configuration.services) {
        for (const auto& kind : service.kinds) {
            if (service.type == ServiceType::Model && kind.repeatable)
                lifetimes[service.name] = std::max<Duration>(lifetimes[service.name], kind.deadline + lifetimeSlack);
        }
    }
    return lifetimes;
}

}
