#pragma once

/// Tells from the list of backend servers that a process has ended, because another has taken its place.

#include "BackendServer.h"
#include "Time.h"

#include <deque>
#include <span>
#include <vector>

namespace jayhold {

/// A process that restarts after a crash has its new entry in the list by this time.
inline constexpr Duration replacementWindow = std::chrono::seconds(5);

/// @return whether the entry shows that another process has taken the server's place.
auto hasReplaced(const BackendServer& entry, const BackendServer& server) -> bool;

/// Servers that lost their connections, of which it is not known whether their processes have ended.
struct LostServers {
    struct Lost {
        BackendServer server;
        TimePoint time;
    };

    /// Oldest first.
    std::deque<Lost> servers;
};

auto addLostServer(LostServers& lost, const BackendServer& server, TimePoint now) -> void;
/// @param entries the list of backend servers of all services.
/// @return the servers that have been replaced. They are removed, as are those that were lost longer ago than
/// `replacementWindow`.
auto takeReplacedServers(LostServers& lost, std::span<const BackendServer> entries, TimePoint now) -> std::vector<BackendServer>;

}
