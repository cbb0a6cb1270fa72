#pragma once

/// The times at which a request needs attention.

#include "DecisionContext.h"

namespace jayhold {

/// Sets the timer to the next time at which the request needs attention.
auto setTimer(DecisionContext& context, ActiveRequest& request) -> void;
/// Moves a waiting request to the Overdue sub-queue, or refuses it, once it misses its target or
/// deadline.
auto checkWaiting(DecisionContext& context, ActiveRequest& request) -> void;

}
