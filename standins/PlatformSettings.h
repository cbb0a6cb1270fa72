#pragma once

/// Settings of the stand-in platform service.

#include "HttpEndpoint.h"

#include <cstdint>

namespace jayhold::standin {

struct PlatformSettings {
    HttpEndpoint listen { "127.0.0.1", 0 };
    /// Largest value of an object, in bytes.
    std::int64_t maxValueBytes = 1 << 20;
};

}
