#pragma once

/// The connection options of calls to backend servers.

#include "BackendServer.h"
#include "HttpCallOptions.h"

namespace jayhold {

/// @param timeout limit for the response header to arrive; HttpClient::request() applies it again to the
/// body.
/// @param mayResend asked before the call is sent again because a reused connection had closed.
auto backendCallOptions(const BackendServer& server, Duration timeout, std::function<bool()> mayResend) -> HttpCallOptions;

}
