#pragma once

/// An order to a model engine to change its role.

#include "PoolRole.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct RoleOrder {
    PoolRole role = PoolRole::Decode;
    /// The instance that holds the lease.
    std::string holder;
    std::int64_t fencingNumber = 0;
    /// Number of orders that the engine must have accepted before. An order that arrives late has no
    /// effect.
    std::int64_t expectedSequence = 0;
};

}
