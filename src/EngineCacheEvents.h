#pragma once

/// A batch of an engine's prefix cache events.

#include <cstdint>
#include <vector>

namespace jayhold {

struct EngineCacheEvents {
    /// Sequence numbers of the first and last event in the batch; both 0 if it is empty.
    std::uint64_t firstSequence = 0;
    std::uint64_t lastSequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

}
