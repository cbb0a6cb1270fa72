#pragma once

/// A backend server as the platform's instance list and the peers report it.

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
    /// Tells two runs of a process under one id apart; empty where ids are not used again.
    std::string incarnation;
    /// Requests that it runs at once; 0 where the pool says so.
    std::int64_t slots = 0;

    auto operator==(const BackendServer&) const -> bool = default;
};

}
