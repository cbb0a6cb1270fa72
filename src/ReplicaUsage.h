#pragma once

/// What one or more entry instances have reserved on a replica.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct ReplicaUsage {
    ReplicaId replica {};
    std::uint32_t slots = 0;
    std::uint32_t memoryBlocks = 0;
    /// Prompt tokens that wait for their prefill or are in it.
    std::uint32_t prefillTokens = 0;
};

}
