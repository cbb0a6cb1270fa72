#pragma once

/// Ranks of the requests of a service. Where all are equal, they change no decision.

#include "ActiveRequest.h"
#include "CallerCost.h"
#include "DecisionContext.h"
#include "ShardSettings.h"

#include <vector>

namespace jayhold {

auto rankOf(const ShardSettings& settings, KindId kind, CustomerId customer) -> RequestRank;
/// @return the ranks that requests can have, the most urgent first.
auto ranksOf(const ShardSettings& settings) -> std::vector<RequestRank>;
auto hasSeveralRanks(const ShardState& state) -> bool;
/// @return whether requests of another rank are more urgent than this one.
auto hasMoreUrgentRank(const ShardState& state, const ActiveRequest& request) -> bool;
/// @return whether requests of another rank are less urgent than this one, so that they make room for it.
auto hasLessUrgentRank(const ShardState& state, const ActiveRequest& request) -> bool;
/// @return whether lateness of the request counts for the scale of the headroom.
auto isMostUrgent(const ShardState& state, const ActiveRequest& request) -> bool;
/// @return what it costs the caller if the request is refused now.
auto callerCost(const DecisionContext& context, const ActiveRequest& request) -> CallerCost;

/// @return whether the caller was probably refused before: it has clearly less time than callers of the kind have at first.
auto hasReturned(const ShardState& state, const ActiveRequest& request) -> bool;

}
