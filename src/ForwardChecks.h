#pragma once

/// The checks that turn a caller's request that goes to a service unchanged into a checked one,
/// without any I/O.

#include "CallerChecks.h"
#include "ForwardedCall.h"

#include <variant>

namespace jayhold {

using CheckedForward = std::variant<CheckedCompletion, CheckedPlainCall>;

/// Finds the route, the service and the kind of a request.
/// @param now when the request arrived.
auto checkForward(const ConfigurationIndex& index, ForwardedCall call, TimePoint now) -> ApiResult<CheckedForward>;

}
