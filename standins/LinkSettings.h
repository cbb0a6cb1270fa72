#pragma once

/// Settings of the stand-in link.

#include "HttpEndpoint.h"

namespace jayhold::standin {

struct LinkSettings {
    HttpEndpoint listen { "127.0.0.1", 0 };
    HttpEndpoint target;
    HttpEndpoint adminListen { "127.0.0.1", 0 };
};

}
