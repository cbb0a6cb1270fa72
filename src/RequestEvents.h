#pragma once

/// Handlers of the events that concern one request.

#include "DecisionContext.h"
#include "DecisionEvent.h"

namespace jayhold {

auto handle(DecisionContext& context, const RequestArrived& event) -> void;
auto handle(DecisionContext& context, const PrefillDone& event) -> void;
auto handle(DecisionContext& context, const PrefillFailed& event) -> void;
auto handle(DecisionContext& context, const SlotReserved& event) -> void;
auto handle(DecisionContext& context, const SlotRefused& event) -> void;
auto handle(DecisionContext& context, const DecodeStarted& event) -> void;
auto handle(DecisionContext& context, const TokensEmitted& event) -> void;
auto handle(DecisionContext& context, const DecodeFinished& event) -> void;
auto handle(DecisionContext& context, const DecodeFailed& event) -> void;
auto handle(DecisionContext& context, const AttemptSilent& event) -> void;
auto handle(DecisionContext& context, const StreamBound& event) -> void;
auto handle(DecisionContext& context, const RequestCancelled& event) -> void;
/// Handles the expiry of the request's timer.
auto handleRequestTimer(DecisionContext& context, RequestId id) -> void;

}
