#pragma once

/// Reservations of seats, memory pieces and link bytes. Every reservation has one owner, the
/// request, and ends at the latest with the request's timer.

#include "DecisionContext.h"

namespace jayhold {

auto reserve(DecisionContext& context, ActiveRequest& request, Replica& replica, const Reservation& amount) -> void;
/// Frees everything that the request holds on its prefill replica.
auto releasePrefill(DecisionContext& context, ActiveRequest& request) -> void;
/// Frees the seat and the work of a finished prefill; the result stays until it is fetched.
auto releasePrefillSeat(DecisionContext& context, ActiveRequest& request) -> void;
/// Frees everything that the request holds on its decode replica.
auto releaseDecode(DecisionContext& context, ActiveRequest& request) -> void;
/// Frees the share of the link after the transfer.
auto releaseDecodeLink(DecisionContext& context, ActiveRequest& request) -> void;

/// Reserves one more piece for an answer that outgrew its forecast, if one is free.
auto growDecode(DecisionContext& context, ActiveRequest& request) -> void;

/// @return pieces that the given number of tokens takes on the replica.
auto piecesFor(const Replica& replica, std::uint64_t tokens) -> std::uint32_t;
/// @return tokens that the replica's memory holds; the largest number if it is not limited.
auto tokenCapacity(const Replica& replica) -> std::uint64_t;
auto freeSeats(const Replica& replica) -> std::uint32_t;
/// @return whether the pieces are free; a replica without memoryPieces is not limited.
auto hasPieces(const Replica& replica, std::uint32_t pieces) -> bool;

}
