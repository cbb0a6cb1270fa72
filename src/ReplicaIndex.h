#pragma once

/// Keeps the placement index consistent with the replicas.

#include "DecisionContext.h"
#include "PlacementObstacle.h"

#include <optional>

namespace jayhold {

/// Scale of load values, fine enough that small differences in free memory still order replicas.
constexpr std::uint64_t loadScale = 1'024;

/// @return prompt tokens that wait for their prefill on the replica, those of peers included.
auto prefillLoad(const Replica& replica) -> std::uint64_t;
/// @return the load in proportion to the time that the replica takes for it: the load itself at the mean speed.
auto atSpeed(std::uint64_t load, const Replica& replica) -> std::uint64_t;

/// @return the fraction of a decode replica's slots or memory that is in use, whichever is larger, in
/// units of 1/loadScale.
auto decodeLoad(const Replica& replica) -> std::uint64_t;
/// The same with another sum of this shard's reservations.
auto decodeLoad(const Replica& replica, const Reservation& reserved) -> std::uint64_t;

/// Adds, moves or removes the replica after a change of its state or load, and sets its timer.
auto updateIndex(DecisionContext& context, Replica& replica) -> void;
auto removeFromIndex(DecisionContext& context, Replica& replica) -> void;
/// @return why the replica gets no new work now; nothing if it may get some.
auto workObstacle(const Replica& replica, TimePoint now) -> std::optional<PlacementObstacle>;

}
