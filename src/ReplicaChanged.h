#pragma once

/// Event: a backend server is new, has changed its state, or is gone.

#include "Identifiers.h"
#include "PoolRole.h"
#include "ReplicaState.h"

#include <cstdint>

namespace jayhold {

struct ReplicaChanged {
    ReplicaId replica;
    PoolRole role;
    ZoneId zone;
    ReplicaState state;
    std::uint32_t slots;
    std::uint32_t memoryBlocks;
    std::uint32_t memoryBlockTokens;
    std::uint64_t linkBytesPerSecond;
    /// Identifies the process of the backend server at all instances.
    std::uint64_t process = 0;
    /// Software version of the process, the same in all events of a replica.
    SoftwareVersionId version {};
};

}
