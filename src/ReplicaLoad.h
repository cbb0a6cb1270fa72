#pragma once

/// Event: a lagging load report of a backend server.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <vector>

namespace jayhold {

struct ReplicaLoad {
    ReplicaId replica;
    /// Grows with every report; an older report is ignored.
    std::uint64_t sequence;
    /// Estimate of when the report was made.
    TimePoint asOf;
    std::uint32_t running;
    std::uint32_t waiting;
    std::uint32_t freeMemoryBlocks;
    /// Requests of this instance that the backend server holds memory for.
    std::vector<RequestId> held;
};

}
