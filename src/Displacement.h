#pragma once

/// Refuses waiting requests for which the capacity or the queue of their customer no longer suffices, the one whose refusal
/// costs least first. Used where requests differ in rank.

#include "DecisionContext.h"

namespace jayhold {

/// If the customer has more waiting requests than its limit, refuses the one of them whose refusal costs least. Then checks
/// the requests that wait behind the new one.
/// @param arrived request that has just been queued. It may be refused too, so the reference can be invalid afterwards. More
/// urgent requests don't wait longer for it.
auto displaceWaiting(DecisionContext& context, ActiveRequest& arrived) -> void;

}
