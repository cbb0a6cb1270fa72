#pragma once

/// The explanation of a placement by a model service, with the names of the backend servers.

#include "PlacementExplanation.h"

#include <string>
#include <unordered_map>

namespace jayhold {

struct ModelPlacement {
    PlacementExplanation explanation;
    /// Names of the backend servers, and of their zones.
    struct Server {
        std::string name;
        std::string zone;
    };
    std::unordered_map<ReplicaId, Server> servers;
};

}
