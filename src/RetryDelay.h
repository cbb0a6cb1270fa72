#pragma once

/// Delay after which a refused caller may retry.

#include "DecisionContext.h"
#include "RefusalReason.h"

namespace jayhold {

/// Where all requests have the same rank, this is about the time to work off the current backlog. Where ranks differ, it is
/// the time for what is before the request once its caller has returned: interrupted streams, waiting requests of its rank and
/// of more urgent ones, and callers of these ranks that were refused earlier and have not returned. The delay is then recorded
/// as promised to this caller, unless its deadline is earlier.
/// @param request has left the queue.
/// @return the delay, with random jitter so that refused callers do not retry together; zero if a retry cannot succeed. A
/// request that has missed its target anyway gets a delay after which a burst is likely to be over.
auto retryDelay(DecisionContext& context, const ActiveRequest& request, RefusalReason reason) -> Duration;

}
