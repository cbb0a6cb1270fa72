#pragma once

/// Validates and routes callers' requests that are forwarded unchanged, without any I/O.

#include "CallerChecks.h"
#include "CallerProtocol.h"
#include "ForwardedCall.h"

#include <variant>

namespace jayhold {

using CheckedForward = std::variant<CheckedCompletion, CheckedPlainCall>;

/// Finds the route, the customer, the service and the kind of a request, and names the customer to the backend server.
/// @param now arrival time of the request.
auto checkForward(const ConfigurationIndex& index, const CallerProtocol& protocol, ForwardedCall call, TimePoint now) -> ApiResult<CheckedForward>;

/// @param customer the customer that the request's key names; nothing without one.
/// @param now arrival time of the request.
/// @return the request as the service gets it.
auto forwardTo(const ConfigurationIndex& index, const Service& service, const RequestKind& kind, std::optional<CustomerId> customer, ForwardedCall call, TimePoint now) -> CheckedForward;

}
