#pragma once

/// Slots that less urgent work leaves free for more urgent work that arrives next. Without this
/// headroom, long requests would take each slot that becomes free while no short request is waiting,
/// and occupy it for long.

#include "DecisionContext.h"

#include <cstdint>

namespace jayhold {

/// Updates the offered load with an arrival. The expected lengths of its kind determine how long it
/// would occupy a slot.
auto recordOfferedLoad(DecisionContext& context, const ActiveRequest& request) -> void;
/// @return number of slots that must stay free on the decode replicas when this request takes one.
auto requiredSlotHeadroom(const DecisionContext& context, const ActiveRequest& request) -> std::int64_t;

}
