#pragma once

/// Seats that less urgent work leaves free for more urgent work that arrives next. Without them long
/// requests take each seat that frees up while no short one happens to wait, and hold it for long.

#include "DecisionContext.h"

#include <cstdint>

namespace jayhold {

/// Counts an arrival; the request's kind tells how long it would hold a seat.
auto recordOfferedLoad(DecisionContext& context, const ActiveRequest& request) -> void;
/// @return seats that must stay free on the decode replicas when this request takes one.
auto requiredSlotHeadroom(const DecisionContext& context, const ActiveRequest& request) -> std::int64_t;

}
