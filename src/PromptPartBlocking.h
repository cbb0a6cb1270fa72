#pragma once

/// Refuses requests whose prompts have parts that crash engines, and reports crashes and harmless parts to the
/// peers. PromptPartCrashes finds the parts.

#include "DecisionContext.h"

namespace jayhold {

/// Records that the replica of the request crashed. Nothing is recorded if the request had got past the
/// point at which it could have been the cause.
auto recordCrashedPrompt(DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> void;
/// Records that the parts of the request's prompt are harmless, once its answer shows that.
/// @param isFinished whether the answer is complete.
auto recordPromptProgress(DecisionContext& context, ActiveRequest& request, bool isFinished) -> void;
/// Blocks the parts that crash engines and refuses the requests that have them.
auto refuseCrashingParts(DecisionContext& context) -> void;
/// Decides about a new request whose prompt may have a blocked part. If a trial of the part is allowed, the
/// request runs in isolation.
/// @return whether the request must be refused.
auto isRefusedForPart(DecisionContext& context, ActiveRequest& request) -> bool;

auto handle(DecisionContext& context, const CrashedPromptReported& event) -> void;
auto handle(DecisionContext& context, const HarmlessPartsReported& event) -> void;
auto handle(DecisionContext& context, const BlockedPartsListed& event) -> void;
auto handle(DecisionContext& context, const PartTrialAllowed& event) -> void;

}
