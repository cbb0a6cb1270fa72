#pragma once

/// The key of an idle connection: only calls with the same key share connections.

#include "HttpEndpoint.h"

#include <string>

namespace jayhold {

struct ConnectionKey {
    HttpEndpoint endpoint;
    /// Name of the process behind the endpoint; empty if any process may serve the call.
    std::string peer;

    auto operator<=>(const ConnectionKey&) const = default;
};

}
