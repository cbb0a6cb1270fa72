#pragma once

/// Runs the copies of a request that was in flight at a crash one at a time, so that only one of them runs
/// into the next crash. Copies are requests with the same crash signature. Private to the decision library.

#include "DecisionContext.h"

namespace jayhold {

/// Makes the copies of a request wait for each other for a limited time after a crash at this instance.
auto delayCopies(DecisionContext& context, const ActiveRequest& crashed) -> void;
/// Puts the waiting requests with the signature where they do not hold up other requests.
auto moveWaitingCopies(DecisionContext& context, std::uint64_t signature) -> void;
/// Records that a request has started, so that its copies wait for it if it was in flight at a crash.
auto recordCopyStart(DecisionContext& context, const ActiveRequest& request) -> void;
/// @return whether another copy of the request has to show first whether it crashes engines.
auto awaitsCopy(const DecisionContext& context, const ActiveRequest& request) -> bool;
/// @return whether the request has got past the point at which it and its copies at this instance were when
/// their replicas crashed.
auto isPastCrash(const DecisionContext& context, const ActiveRequest& request) -> bool;

}
