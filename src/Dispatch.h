#pragma once

/// Starts waiting requests wherever there is capacity for them.

#include "DecisionContext.h"

namespace jayhold {

auto dispatch(DecisionContext& context) -> void;

}
