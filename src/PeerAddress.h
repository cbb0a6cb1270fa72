#pragma once

/// Address at which another entry instance is reached.

#include "HttpEndpoint.h"

#include <string>

namespace jayhold {

struct PeerAddress {
    HttpEndpoint endpoint;
    std::string availabilityZone;
};

}
