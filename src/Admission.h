#pragma once

/// Decides on arrival whether a request can be served at all.

#include "DecisionContext.h"
#include "RefusalReason.h"

#include <optional>

namespace jayhold {

/// @param request has just arrived and is not queued yet; its sub-queue is set, and changed to Overdue
/// if it will clearly miss its first-token target.
/// @return why the request is refused, or nothing if it may wait.
auto admissionRefusal(DecisionContext& context, ActiveRequest& request) -> std::optional<RefusalReason>;

/// @param waiting number of waiting requests of the customer.
/// @return whether the customer has more of them than its limit.
auto isQueueOverLimit(const ShardState& state, CustomerId customer, std::size_t waiting) -> bool;

}
