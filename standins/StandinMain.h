#pragma once

/// What the main functions of the stand-ins share.

#include "HttpEndpoint.h"

#include <string_view>

namespace jayhold {

/// Blocks SIGTERM and SIGINT in this thread and those it starts later, so that waitForStop()
/// receives them; call it before any thread starts.
auto blockStopSignals() -> void;

/// Prints the line by which whoever started the process learns its address.
/// @param extra further key=value pairs, or empty.
auto printListening(const HttpEndpoint& endpoint, std::string_view extra = {}) -> void;

/// Waits for SIGTERM or SIGINT.
auto waitForStop() -> void;

}
