#pragma once

/// An entry instance as its peers know it.

#include "HttpEndpoint.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct Member {
    std::string id;
    HttpEndpoint peerEndpoint;
    std::string availabilityZone;
    /// Increases with every restart of the instance.
    std::int64_t incarnation = 0;
    /// Version of the configuration that is active on the instance.
    std::int64_t configurationVersion = 0;
    bool isDraining = false;

    auto operator==(const Member&) const -> bool = default;
};

}
