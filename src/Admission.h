#pragma once

/// Decides at arrival whether a request can be served at all.

#include "DecisionContext.h"
#include "RefusalReason.h"

#include <optional>

namespace jayhold {

/// @param request just arrived and not yet queued; its lane is set.
/// @return why it is refused, or nothing if it may wait for its turn.
auto admissionRefusal(DecisionContext& context, ActiveRequest& request) -> std::optional<RefusalReason>;

}
