#pragma once

/// A backend server as the platform's instance list and the peers report it.

#include "HttpEndpoint.h"
#include "ReplicaState.h"

#include <string>

namespace jayhold {

struct BackendServer {
    std::string id;
    HttpEndpoint endpoint;
    std::string availabilityZone;
    /// Name of the pool in the configuration.
    std::string pool;
    ReplicaState state = ReplicaState::Live;

    auto operator==(const BackendServer&) const -> bool = default;
};

}
