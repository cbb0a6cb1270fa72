#pragma once

/// A backend server as reported by the platform's instance list and by peers.

#include "HttpEndpoint.h"
#include "ReplicaState.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct BackendServer {
    std::string id;
    HttpEndpoint endpoint;
    std::string availabilityZone;
    /// Name of the pool in the configuration.
    std::string pool;
    ReplicaState state = ReplicaState::Live;
    /// Distinguishes successive processes with the same id: the start time of the process as a decimal number, with
    /// `/` and its software version if that is known. Empty if ids are not reused.
    std::string incarnation;
    /// Requests that the server runs at the same time; 0 if the pool defines the number.
    std::int64_t slots = 0;
    /// Software version of the process, empty if unknown. Versions have no order. A stream goes on only at the version
    /// that began it.
    std::string softwareVersion;

    auto operator==(const BackendServer&) const -> bool = default;
};

/// @return whether both have the same id and are not known to be different processes.
inline auto hasSameIncarnation(const BackendServer& first, const BackendServer& second) -> bool
{
    return first.id == second.id && first.incarnation == second.incarnation && first.softwareVersion == second.softwareVersion;
}

}
