#pragma once

/// Address at which another entry instance is reached.

#include "HttpEndpoint.h"

#include <string>

namespace jayhold {

struct PeerAddress {
    HttpEndpoint endpoint;
    std::string availabilityZone;
    /// Name of the instance; empty if it is not known.
    std::string instance {};
};

}
