#pragma once

/// Keeps what simultaneous crashes show until it is known whether the processes have ended. If several replicas of
/// a zone lose their connections at the same time, the network may have failed, and the requests on them are
/// harmless. Private to the decision library.

#include "DecisionContext.h"
#include "ProcessEnded.h"

namespace jayhold {

/// Takes what the crash of the replica shows out of the comparison of crashes.
auto setCrashAside(DecisionContext& context, const Replica& replica) -> void;
/// Adds the prompt of a request to the crash of its process, if that was set aside.
/// @return whether it was.
auto addUndecidedPrompt(DecisionContext& context, const CrashedPrompt& prompt) -> bool;
/// Records that the replica has answered a request.
auto recordAnswerAfterLoss(DecisionContext& context, const Replica& replica) -> void;
/// Drops what was set aside for the replica, if work that was given to it before goes on.
/// @param givenAt when the replica got the work that has made progress.
auto dropUndecidedCrashIfAlive(DecisionContext& context, const Replica& replica, TimePoint givenAt) -> void;
/// Counts what was set aside for a process that has ended.
auto handle(DecisionContext& context, const ProcessEnded& event) -> void;

}
