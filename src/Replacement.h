#pragma once

/// What a request reserves at a decode replica for the attempt that would replace its silent one.

#include "Identifiers.h"
#include "Reservation.h"

#include <cstdint>

namespace jayhold {

struct Replacement {
    ReplacementNumber number = 0;
    ReplicaId decode {};
    Reservation reserved;
    /// Whether the new attempt begins with a prefill on another replica.
    bool hasPrefill = false;
    /// Tokens that the caller had when the slot was asked for.
    std::uint32_t emitted = 0;
};

}
