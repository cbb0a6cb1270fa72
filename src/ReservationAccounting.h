#pragma once

/// Reservations of seats, memory pieces and link bytes. Every reservation has one owner, the
/// request, and ends at the latest with the request's timer.

#include "DecisionContext.h"

namespace jayhold {

auto reserve(DecisionContext& context, ActiveRequest& request, Replica& replica, const Reservation& amount) -> void;
/// Frees everything that the request holds on its prefill replica.
auto releasePrefill(DecisionContext& context, ActiveRequest& request) -> void;
/// Frees the seat and the work of a finished prefill; the result stays until it is fetched.
auto releasePrefillSlot(DecisionContext& context, ActiveRequest& request) -> void;
/// Frees everything that the request holds on its decode replica.
auto releaseDecode(DecisionContext& context, ActiveRequest& request) -> void;
/// Frees the share of the link after the transfer.
auto releaseDecodeLink(DecisionContext& context, ActiveRequest& request) -> void;

/// Reserves one more piece for an answer that outgrew its forecast, if one is free.
auto growDecode(DecisionContext& context, ActiveRequest& request) -> void;

/// @return pieces that the given number of tokens takes on the replica.
auto memoryBlocksFor(const Replica& replica, std::uint64_t tokens) -> std::uint32_t;
/// @return tokens that the replica's memory holds; the largest number if it is not limited.
auto tokenCapacity(const Replica& replica) -> std::uint64_t;
auto freeSlots(const Replica& replica) -> std::uint32_t;
/// @return whether the pieces are free; a replica without memoryBlocks is not limited.
auto hasFreeMemoryBlocks(const Replica& replica, std::uint32_t memoryBlocks) -> bool;

}
