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
    std::uint32_t seats;
    std::uint32_t memoryPieces;
    std::uint32_t pieceTokens;
    std::uint64_t linkBytesPerSecond;
};

}
