#pragma once

/// Event: changes of a prefill engine's prefix cache. They arrive late and possibly with gaps.

#include "Identifiers.h"

#include <cstdint>
#include <vector>

namespace jayhold {

struct CacheEvents {
    ReplicaId replica;
    /// Sequence numbers of the first and last change in this batch.
    std::uint64_t firstSequence;
    std::uint64_t lastSequence;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

}
