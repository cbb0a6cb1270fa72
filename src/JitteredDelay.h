#pragma once

/// Adds jitter to retry delays, so that callers that were refused together do not all retry at the same
/// time.

#include "Time.h"

namespace jayhold {

/// @return a random delay between 0.5 and 1.5 times the given one.
auto jitteredDelay(Duration mean) -> Duration;

}
