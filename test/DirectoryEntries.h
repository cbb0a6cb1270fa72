#pragma once

/// Entries of backend servers for tests of the directory.

#include "BackendDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace jayhold::test {

inline constexpr TimePoint start { std::chrono::seconds(1'000) };

/// Each server has an address of its own, as servers that run at the same time do.
inline auto server(const std::string& id, ReplicaState state = ReplicaState::Live) -> BackendServer
{
    return { .id = id, .endpoint = { "server-" + id, 1 }, .availabilityZone = "alpine", .pool = "pool", .state = state };
}

inline auto server(const std::string& id, std::string incarnation, ReplicaState state = ReplicaState::Live) -> BackendServer
{
    auto result = server(id, state);
    result.incarnation = std::move(incarnation);
    return result;
}

/// @return the state with which the directory names the server; nothing if it does not name it.
inline auto stateOf(const BackendDirectory& directory, std::string_view id) -> std::optional<ReplicaState>
{
    for (const auto& entry : servers(directory)) {
        if (entry.id == id)
            return entry.state;
    }
    return std::nullopt;
}

}
