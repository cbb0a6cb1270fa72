#pragma once

/// Keeps a stream at the software version that began it, and ends it when no replica of that version is left. Private to
/// the decision library.

#include "DecisionContext.h"

namespace jayhold {

/// Restricts the request to the version, unless it is restricted already.
auto bindToVersion(DecisionContext& context, ActiveRequest& request, SoftwareVersionId version) -> void;
/// Records how many tokens the caller has. The first new ones bind the request to the version of its current attempt.
auto recordTokens(DecisionContext& context, ActiveRequest& request, std::uint32_t total) -> void;
/// @return whether the count contains tokens that the caller had neither before the request nor at the last report.
auto hasNewTokens(const ActiveRequest& request, std::uint32_t total) -> bool;

/// Counts the replica as long as it is a live decode replica.
auto countVersion(DecisionContext& context, Replica& replica) -> void;
/// @return whether the version at which the request must run, if any, has a live decode replica or one that is expected
/// back.
auto isVersionServed(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return whether live decode replicas have more than one version, so that a request that finds no room at its own does
/// not show that others find none.
auto hasSeveralVersions(const ShardState& state) -> bool;
/// Refuses the waiting requests whose version is no longer served.
auto refuseUnserved(DecisionContext& context) -> void;
/// @return when refuseUnserved() may have to refuse requests without another event.
auto nextVersionCheck(const DecisionContext& context) -> TimePoint;

}
