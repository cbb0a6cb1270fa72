#pragma once

/// Chooses the prefill replica by cached prefix, load and zone.

#include "DecisionContext.h"

namespace jayhold {

/// @return the replica with the earliest expected end of the prefill, or null if none fits.
auto choosePrefill(DecisionContext& context, const ActiveRequest& request) -> Replica*;
/// @return the time until the replica would have ended the prefill, and what another zone or a failed attempt there costs in
/// addition.
auto prefillCost(const ShardState& state, const ActiveRequest& request, const Replica& replica) -> Duration;
/// @return prompt tokens that the replica is expected to have in its cache.
auto expectedCachedTokens(const ShardState& state, const ActiveRequest& request, ReplicaId replica) -> std::uint32_t;
/// Records the zone of the prefill for the hysteresis between zones.
auto recordPrefillZone(DecisionContext& context, const Replica& replica) -> void;

}
