#pragma once

/// What this instance has observed itself of the speed of a backend server, which it may report to others.

#include "Time.h"

namespace jayhold {

struct ObservedSpeed {
    /// Relative to the mean of the service.
    double speed = 1;
    /// Time that the work took, with the weight that is left of it.
    Duration observed {};
    /// Time since the last observation.
    Duration age {};
};

}
