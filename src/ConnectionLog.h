#pragma once

/// Reports closed connections of an instance's servers in its log and metrics.

#include "ConnectionClose.h"
#include "EntryContext.h"

namespace jayhold {

/// Logs an exception of a handler, and a request that was read and got no complete response.
auto logConnectionClose(EntryContext& context, const ConnectionClose& close) -> void;

/// Counts the close of a caller's connection by its reason, and logs it as logConnectionClose() does.
auto recordCallerClose(EntryContext& context, const ConnectionClose& close) -> void;

}
