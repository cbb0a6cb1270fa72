#pragma once

/// Validates and routes callers' requests that are forwarded unchanged, without any I/O.

#include "CallerChecks.h"
#include "ForwardedCall.h"

#include <variant>

namespace jayhold {

using CheckedForward = std::variant<CheckedCompletion, CheckedPlainCall>;

/// Finds the route, the service and the kind of a request.
/// @param now arrival time of the request.
auto checkForward(const ConfigurationIndex& index, ForwardedCall call, TimePoint now) -> ApiResult<CheckedForward>;

}
