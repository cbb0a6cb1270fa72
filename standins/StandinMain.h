#pragma once

/// Functions shared by the main programs of the stand-ins.

#include "HttpEndpoint.h"
#include "LoopMonitor.h"

#include <string_view>

namespace jayhold {

/// Blocks SIGTERM and SIGINT in this thread and those it starts later, so that waitForStop()
/// receives them; call it before any thread starts.
auto blockStopSignals() -> void;

/// Prints the line from which the parent process reads the address.
/// @param extra additional key=value pairs, or empty.
auto printListening(const HttpEndpoint& endpoint, std::string_view extra = {}) -> void;

/// Prints a line about a time in which an I/O thread stood still; `at` is its end on the steady clock.
auto printStall(const LoopStall& stall) -> void;

/// Waits for SIGTERM or SIGINT.
auto waitForStop() -> void;

}
