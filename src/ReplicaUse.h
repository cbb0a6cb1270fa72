#pragma once

/// What one or more entry instances have reserved on a replica.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct ReplicaUse {
    ReplicaId replica {};
    std::uint32_t seats = 0;
    std::uint32_t pieces = 0;
    /// Prompt tokens that wait for or are in their prefill.
    std::uint32_t prefillTokens = 0;
};

}
