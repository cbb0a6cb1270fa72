#pragma once

/// Chooses the replicas of a request.

#include "DecisionContext.h"
#include "SlotMemory.h"

#include <optional>

namespace jayhold {

struct Placement {
    /// Null if the decode replica prefills itself.
    Replica* prefill;
    Replica* decode;
    /// Whether the slot is free now. Otherwise it is expected to be free when the prefill result is
    /// ready.
    bool slotFree;
    /// What is reserved on the decode replica already; null if nothing is.
    const Replacement* replacement = nullptr;
};

/// @param slotHeadroom decode slots that must also stay free.
/// @return a prefill replica, and a decode replica where a slot and memory are free or will be when the
/// result is ready; nothing if there is no such pair now.
auto choosePlacement(DecisionContext& context, const ActiveRequest& request, std::int64_t slotHeadroom) -> std::optional<Placement>;
/// @param prefillZone zone of the prefill result; a decode there is preferred.
/// @return a decode replica with a free slot and memory for the request, or null.
auto chooseDecode(DecisionContext& context, const ActiveRequest& request, ZoneId prefillZone) -> Replica*;
/// @return whether the replica has the software version at which the request must run, and its process is known. Processes of
/// the unknown version can't be told apart. Each choice of a decode replica asks this.
auto mayDecodeAt(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> bool;
/// @return whether the replica has the memory and the link capacity for the request.
auto prefillFits(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> bool;

/// @return what the request takes on a decode replica.
auto decodeReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation;
/// @return the memory for which the decode replica is asked when it reserves a slot for the request.
auto slotMemory(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> SlotMemory;
/// @return what the request takes on a prefill replica.
auto prefillReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation;

}
