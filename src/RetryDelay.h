#pragma once

/// When a refused caller may come back.

#include "DecisionContext.h"
#include "RefusalReason.h"

namespace jayhold {

/// @return a delay of about the time in which the present backlog is worked off, spread at random
/// so that refused callers don't come back together; zero where a repeat has no chance. A request that
/// has missed its target anyway returns when a burst is likely to be over.
auto retryDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration;

}
