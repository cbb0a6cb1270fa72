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
    /// Orders that the engine must have accepted before, so that a late order does nothing.
    std::int64_t expectedSequence = 0;
};

}
