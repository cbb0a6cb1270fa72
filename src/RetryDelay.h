#pragma once

/// Delay after which a refused caller may retry.

#include "DecisionContext.h"
#include "RefusalReason.h"

namespace jayhold {

/// @return about the time to work off the current backlog, with random jitter so that refused callers
/// do not retry together; zero if a retry cannot succeed. A request that has missed its target anyway
/// gets a delay after which a burst is likely to be over.
auto retryDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration;

}
