#pragma once

/// How calls to backend servers use connections.

#include "BackendServer.h"
#include "HttpCallOptions.h"

namespace jayhold {

/// @param timeout time until the header of the answer, or a whole answer, has arrived.
/// @param isRepeatable whether the call may run more than once.
auto backendCallOptions(const BackendServer& server, Duration timeout, bool isRepeatable) -> HttpCallOptions;

}
