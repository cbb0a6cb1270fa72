#pragma once

/// The connection options of calls to backend servers.

#include "BackendServer.h"
#include "HttpCallOptions.h"

namespace jayhold {

/// @param timeout limit for the response header to arrive; HttpClient::request() applies it again to the
/// body.
/// @param isRepeatable whether the call may be executed more than once.
auto backendCallOptions(const BackendServer& server, Duration timeout, bool isRepeatable) -> HttpCallOptions;

}
