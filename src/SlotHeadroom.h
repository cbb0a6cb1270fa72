#pragma once

/// Slots and memory that less urgent work leaves free for more urgent work that arrives next. Without this
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
/// @return memory in tokens that must stay free on the decode replica for requests of more urgent ranks of all instances
/// when this request takes memory there; 0 if there are none.
auto memoryForMoreUrgent(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::uint64_t;
/// @return whether the offered load of the request's rank and of more urgent ones fits on the replicas if less urgent
/// requests make room.
auto fitsWithMoreUrgent(const DecisionContext& context, const ActiveRequest& request) -> bool;

}
