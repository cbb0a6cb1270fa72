#pragma once

/// Which calls may share an idle connection.

#include "HttpEndpoint.h"

#include <string>

namespace jayhold {

struct ConnectionKey {
    HttpEndpoint endpoint;
    /// The process behind the endpoint; empty where it does not matter.
    std::string peer;

    auto operator<=>(const ConnectionKey&) const = default;
};

}
