#pragma once

/// Starts waiting requests wherever there is capacity for them.

#include "DecisionContext.h"

#include <vector>

namespace jayhold {

auto dispatch(DecisionContext& context) -> void;
/// @return the oldest interrupted request of each software version, and of those that may run at any version, that does not
/// wait for what a crash shows; the oldest first.
auto oldestResumes(const DecisionContext& context) -> std::vector<RequestId>;

}
