#pragma once

/// Until when a waiting request can still meet its targets, and how long it is likely to wait.

#include "DecisionContext.h"

namespace jayhold {

/// @return the last time at which a start can meet the first-token target; the end of time for
/// streams whose first token is out.
auto latestOnTimeStart(const ShardState& state, const ActiveRequest& request) -> TimePoint;
/// @return the last time at which a start can meet the deadline.
auto latestStart(const ShardState& state, const ActiveRequest& request) -> TimePoint;
/// Wait of a request that joins the fair queues now.
auto expectedWait(const DecisionContext& context, const ActiveRequest& request) -> Duration;
/// Wait of a request that joins the late ones now.
auto expectedOverdueWait(const DecisionContext& context) -> Duration;
/// @return whether the request clearly can't be answered before its deadline.
auto cannotMeetDeadline(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return what a refusal of the request now would rest on.
auto refusalInputs(const DecisionContext& context, const ActiveRequest& request) -> RefusalInputs;
/// @return whether a request that waits and has missed its target is better refused with a time to
/// return: it would take the memory of requests that can still meet theirs. One with much less time than
/// its kind allows has probably returned already, and waits for what is left over.
auto shouldRetryLater(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// Moves the request to the late ones; its queue entry is the caller's.
auto moveToOverdue(DecisionContext& context, ActiveRequest& request) -> void;
/// Adjusts the safety margin and the seats left free after a first token came in time or too late.
auto updateFirstTokenMargin(DecisionContext& context, const ActiveRequest& request) -> void;

}
