#pragma once

/// Starts waiting requests wherever there is capacity for them.

#include "DecisionContext.h"

#include <optional>

namespace jayhold {

auto dispatch(DecisionContext& context) -> void;
/// @return the oldest interrupted request that does not wait for what a crash shows.
auto oldestResume(const DecisionContext& context) -> std::optional<RequestId>;

}
