#pragma once

/// Chooses the replicas of a request.

#include "DecisionContext.h"

#include <optional>

namespace jayhold {

struct Placement {
    /// Null where the decode replica prefills by itself.
    Replica* prefill;
    Replica* decode;
    /// Whether the seat is free now; otherwise it is expected to be free when the result is ready.
    bool slotFree;
};

/// @param slotHeadroom decode seats that must stay free besides.
/// @return a prefill replica, and a decode replica where a seat and memory are free or will be when
/// the result is ready; nothing if there is no such pair now.
auto choosePlacement(DecisionContext& context, const ActiveRequest& request, std::int64_t slotHeadroom) -> std::optional<Placement>;
/// @param prefillZone where the prefill result is; a decode there is preferred.
/// @return a decode replica with a free seat and memory for the request.
auto chooseDecode(DecisionContext& context, const ActiveRequest& request, ZoneId prefillZone) -> Replica*;
/// @return whether the replica has the memory and a share of its link for the request.
auto prefillFits(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> bool;

/// What the request takes on a decode replica.
auto decodeReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation;
/// @return memory for which the decode replica is asked to keep a seat, in tokens: less than the request
/// may take in the end, and at most what the replica has.
auto slotMemoryTokens(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::uint32_t;
/// What the request takes on a prefill replica.
auto prefillReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation;

}
