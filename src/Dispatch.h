#pragma once

/// Starts waiting work wherever there is room for it.

#include "DecisionContext.h"

namespace jayhold {

auto dispatch(DecisionContext& context) -> void;

}
