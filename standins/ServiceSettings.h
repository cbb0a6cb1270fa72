#pragma once

/// Settings of the stand-in for a plain service.

#include "HttpEndpoint.h"

#include <string>

namespace jayhold::standin {

struct ServiceSettings {
    HttpEndpoint listen { "127.0.0.1", 0 };
    std::string id = "service";
};

}
