#pragma once

/// Replaces attempts whose engine is silent. Silence alone never ends a request: the silent attempt goes on until a
/// slot is reserved for the next one, and afterwards as its fallback until the next one has brought a token.

#include "DecisionContext.h"
#include "FallbackEnded.h"
#include "FallbackFinished.h"
#include "ReplacementFailed.h"
#include "ReplacementRefused.h"
#include "ReplacementReserved.h"

namespace jayhold {

/// Reserves a slot for the replacement of an attempt whose engine is silent, if the retry rules and the budget allow
/// another attempt and another engine seems to have room. The attempt goes on meanwhile. If engines take no
/// reservations, it is replaced at once. Does nothing while an earlier reservation is still asked for.
auto replaceSilentAttempt(DecisionContext& context, ActiveRequest& request) -> void;

/// Replaces the attempt with the reserved slot, unless its engine has gone on or the rules or the budget forbid it by
/// now. The slot is released then.
auto handle(DecisionContext& context, const ReplacementReserved& event) -> void;
auto handle(DecisionContext& context, const ReplacementRefused& event) -> void;

/// Returns to the fallback.
auto handle(DecisionContext& context, const ReplacementFailed& event) -> void;
auto handle(DecisionContext& context, const FallbackEnded& event) -> void;
auto handle(DecisionContext& context, const FallbackFinished& event) -> void;

}
