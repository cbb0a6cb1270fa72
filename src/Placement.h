#pragma once

/// Chooses the replicas of a request.

#include "DecisionContext.h"
#include "PlacementObstacle.h"
#include "ReplicaIndex.h"
#include "SlotMemory.h"

#include <optional>

namespace jayhold {

/// A decode replica in another zone must have this much less load, as a fraction of its slots or
/// memory. A full replica decodes slowly and rejects work, while a transfer between zones costs little
/// more time.
inline constexpr std::uint64_t otherZoneLoadPenalty = loadScale / 4;

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
/// @return what keeps a prefill replica that accepts work from taking the request; nothing if it fits.
auto prefillObstacle(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::optional<PlacementObstacle>;
/// @return what keeps a decode replica that accepts work from taking the request; nothing if it fits.
auto decodeObstacle(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::optional<PlacementObstacle>;
/// @return memory blocks that must be free on the decode replica: those of the request and those that stay free beside it.
auto decodeMemoryNeed(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::uint32_t;
/// @return the load of the decode replica at its speed, by which zones are compared, in units of 1/loadScale.
auto decodeCost(const Replica& replica) -> std::uint64_t;

/// @return what the request takes on a decode replica.
auto decodeReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation;
/// @return the memory for which the decode replica is asked when it reserves a slot for the request.
auto slotMemory(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> SlotMemory;
/// @return what the request takes on a prefill replica.
auto prefillReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation;

}
