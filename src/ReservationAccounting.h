#pragma once

/// Reservations of slots, memory blocks and link bytes. Every reservation is owned by one request and
/// ends at the latest when the request's timer expires.

#include "DecisionContext.h"

namespace jayhold {

auto reserve(DecisionContext& context, ActiveRequest& request, Replica& replica, const Reservation& amount) -> void;
/// Reserves what the attempt that replaces a silent one would take on a decode replica.
auto reserveReplacement(DecisionContext& context, const ActiveRequest& request, Replica& replica, const Reservation& amount) -> Replacement&;
/// Releases what is reserved for the replacement of the running attempt, if anything is. No call was sent.
auto releaseReplacement(DecisionContext& context, const ActiveRequest& request) -> void;
/// @return whether the next call of the request to the replica counts against a limit that the replica names.
/// The first prefill of a request does not.
auto isLimitedCall(const ActiveRequest& request, const Replica& replica) -> bool;
/// Gives back the calls to limited replicas that the reservations of the request took, because none was sent.
auto putBackCalls(DecisionContext& context, const ActiveRequest& request) -> void;
/// Releases everything that the request holds on its prefill replica.
auto releasePrefill(DecisionContext& context, ActiveRequest& request) -> void;
/// Releases the slot and the work of a finished prefill. The memory of the result stays reserved until
/// it is fetched.
auto releasePrefillSlot(DecisionContext& context, ActiveRequest& request) -> void;
/// Releases everything that the request holds on its decode replica.
auto releaseDecode(DecisionContext& context, ActiveRequest& request) -> void;
/// Releases the share of the link after the transfer.
auto releaseDecodeLink(DecisionContext& context, ActiveRequest& request) -> void;

/// Reserves one more memory block for an answer that outgrew its estimate, if one is free.
auto growDecode(DecisionContext& context, ActiveRequest& request) -> void;

/// @return memory blocks that the given number of tokens takes on the replica.
auto memoryBlocksFor(const Replica& replica, std::uint64_t tokens) -> std::uint32_t;
/// @return tokens that fit into the replica's memory, or the largest number if the memory is not
/// limited.
auto tokenCapacity(const Replica& replica) -> std::uint64_t;
auto freeSlots(const Replica& replica) -> std::uint32_t;
/// @return whether that many memory blocks are free. A replica without memoryBlocks is not limited.
auto hasFreeMemoryBlocks(const Replica& replica, std::uint32_t memoryBlocks) -> bool;

}
