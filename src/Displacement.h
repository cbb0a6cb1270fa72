#pragma once

/// Refuses the waiting requests for which the capacity no longer suffices, the one whose refusal costs least first. Used where
/// requests differ in rank.

#include "DecisionContext.h"
#include "RequestRank.h"

namespace jayhold {

/// @param arrived rank of the request that has just been queued. More urgent requests don't wait longer for it.
auto displaceWaiting(DecisionContext& context, RequestRank arrived) -> void;

}
