#pragma once

/// Event: the process of a backend server is known to have ended, because it refuses connections or another has
/// taken its place.

#include <cstdint>

namespace jayhold {

struct ProcessEnded {
    /// Identifies the process as in ReplicaChanged.
    std::uint64_t process;
};

}
