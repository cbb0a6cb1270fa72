#pragma once

/// Event: a peer had a request in flight on a replica that crashed.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct CrashReported {
    /// Crash signature of the peer's request.
    std::uint64_t signature;
    ReplicaId replica;
    /// Whether the peer runs its copy of the request again before this instance does.
    bool peerRetriesFirst;
};

}
