#pragma once

/// Which calls may share an idle connection.

#include "HttpEndpoint.h"

#include <string>

namespace jayhold {

struct PoolKey {
    HttpEndpoint endpoint;
    /// The process behind the endpoint; empty where it does not matter.
    std::string peer;

    auto operator<=>(const PoolKey&) const = default;
};

}
