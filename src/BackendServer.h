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
    /// Distinguishes successive processes with the same id; empty if ids are not reused.
    std::string incarnation;
    /// Requests that the server runs at the same time; 0 if the pool defines the number.
    std::int64_t slots = 0;

    auto operator==(const BackendServer&) const -> bool = default;
};

}
