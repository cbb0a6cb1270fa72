#pragma once

/// Identifies the process of a backend server in reports of crashes.

#include "BackendServer.h"

#include <cstdint>

namespace jayhold {

/// @return a value that differs between successive processes with the same id, and is the same at all instances.
auto processIdentity(const BackendServer& server) -> std::uint64_t;

}
