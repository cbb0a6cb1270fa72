#pragma once

/// Another instance's estimate of the speed of a backend server.

#include "Time.h"

#include <cstdint>

namespace jayhold {

struct HeardSpeed {
    /// Identifies the instance; its next estimate replaces this one.
    std::uint64_t sender = 0;
    /// Relative to the mean of the service.
    double speed = 1;
    /// Time that the observed work took, which is the weight of the estimate. An entry without weight is unused.
    double seconds = 0;
    TimePoint observedAt {};
};

}
