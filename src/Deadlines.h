#pragma once

/// Latest start times at which waiting requests can still meet their targets, and their expected wait.

#include "DecisionContext.h"

namespace jayhold {

/// @return when the request must have ended: at its deadline, or earlier if the instance ends its requests.
auto endOfTime(const ShardState& state, const ActiveRequest& request) -> TimePoint;
/// @return whether the instance ends the request before its deadline.
auto endsBeforeDeadline(const ShardState& state, const ActiveRequest& request) -> bool;
/// @return the latest start that can meet the first-token target; TimePoint::max() for interrupted
/// streams, whose first token has been sent.
auto latestOnTimeStart(const ShardState& state, const ActiveRequest& request) -> TimePoint;
/// @return the latest start that can meet the deadline and the caller's idle timeout.
auto latestStart(const ShardState& state, const ActiveRequest& request) -> TimePoint;
/// @return when a request must be refused at the latest: at its deadline, or, as long as its caller has no token,
/// shortly before the caller's idle timeout.
auto latestRefusal(const ShardState& state, const ActiveRequest& request) -> TimePoint;
/// @return the expected wait of a request that joins the Fair sub-queue now.
auto expectedWait(const DecisionContext& context, const ActiveRequest& request) -> Duration;
/// @return the expected wait of a request that joins the Overdue sub-queue now.
auto expectedOverdueWait(const DecisionContext& context, const ActiveRequest& request) -> Duration;
/// @return whether the request could not meet its deadline even if it started now.
auto cannotStartInTime(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @param wait expected wait, of which only two thirds count.
/// @return whether the wait makes the request miss its first-token target.
auto willMissTarget(const DecisionContext& context, const ActiveRequest& request, Duration wait) -> bool;
/// @param wait expected wait.
/// @return whether the wait clearly makes the request miss its deadline.
auto waitsTooLong(const DecisionContext& context, const ActiveRequest& request, Duration wait) -> bool;
/// @return why a request is refused that cannot meet its deadline.
auto overloadReason(const ShardState& state, const ActiveRequest& request) -> RefusalReason;
/// @return whether all replicas that could run the request are paused for longer than it can wait.
auto pausesEndAfterLatestStart(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return whether the request clearly cannot be answered before its deadline.
auto cannotMeetDeadline(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return the inputs of a decision to refuse the request now.
auto refusalInputs(const DecisionContext& context, const ActiveRequest& request) -> RefusalInputs;
/// @return whether a waiting request that has missed its target should be refused with a retry delay,
/// because it would take the memory of requests that can still meet theirs. A request with much less
/// time than its kind allows has probably been refused before, and waits for remaining capacity. So does a
/// request for which less urgent ones make room.
auto shouldRetryLater(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// Moves the request to the Overdue sub-queue. The caller updates its queue entry.
auto moveToOverdue(DecisionContext& context, ActiveRequest& request) -> void;
/// Adjusts the safety margin and the slot headroom after a first token was on time or late.
auto updateFirstTokenMargin(DecisionContext& context, const ActiveRequest& request) -> void;

}
