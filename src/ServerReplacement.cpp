#include "ServerReplacement.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Bounds the memory when very many servers are lost together.
constexpr std::size_t maxLostServers = 64;

}

auto hasReplaced(const BackendServer& entry, const BackendServer& server) -> bool
{
    if (entry.id == server.id)
        return entry.incarnation != server.incarnation;
    return entry.endpoint == server.endpoint;
}

auto addLostServer(LostServers& lost, const BackendServer& server, TimePoint now) -> void
{
    std::erase_if(lost.servers, [&](const auto& known) { return hasSameIncarnation(known.server, server); });
    if (lost.servers.size() == maxLostServers)
        lost.servers.pop_front();
    lost.servers.push_back({ server, now });
}

auto takeReplacedServers(LostServers& lost, std::span<const BackendServer> entries, TimePoint now) -> std::vector<BackendServer>
{
    std::vector<BackendServer> replaced;
    std::erase_if(lost.servers, [&](const auto& known) {
        if (now - known.time >= replacementWindow)
            return true;
        if (std::ranges::none_of(entries, [&](const BackendServer& entry) { return hasReplaced(entry, known.server); }))
            return false;
        replaced.push_back(known.server);
        return true;
    });
    return replaced;
}

}
