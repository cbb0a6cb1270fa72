#pragma once

/// Chooses the prefill replica: cached prefix against load, own zone against others.

#include "DecisionContext.h"

namespace jayhold {

/// @return the replica with the earliest expected end of the prefill, or nothing if none fits.
auto choosePrefill(DecisionContext& context, const ActiveRequest& request) -> Replica*;
/// @return prompt tokens that the replica is expected to have in its cache.
auto expectedCachedTokens(const ShardState& state, const ActiveRequest& request, ReplicaId replica) -> std::uint32_t;
/// Notes where the request goes, for the hysteresis between zones.
auto recordPrefillZone(DecisionContext& context, const Replica& replica) -> void;

}
