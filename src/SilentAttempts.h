#pragma once

/// Replaces attempts whose engine is silent. Silence alone never ends a request.

#include "DecisionContext.h"

namespace jayhold {

/// Ends the attempt of a request whose engine is silent and starts another one, if the retry rules and the
/// budget allow it and another engine has room now. Otherwise the attempt goes on.
/// @return whether the attempt was replaced.
auto replaceSilentAttempt(DecisionContext& context, ActiveRequest& request) -> bool;

}
