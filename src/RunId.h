#pragma once

/// Identifies one run of an instance among those that have the same name.

#include <string>

namespace jayhold {

/// @return an identifier of this run of the instance. It includes a random number, because the system
/// clock may be set back.
auto uniqueRunId() -> std::string;

}
