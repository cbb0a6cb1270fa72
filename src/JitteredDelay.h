#pragma once

/// Spreads the times at which refused callers come back, so that they do not return together.

#include "Time.h"

namespace jayhold {

/// @return a random delay from half of the given one to one and a half times it.
auto jitteredDelay(Duration around) -> Duration;

}
