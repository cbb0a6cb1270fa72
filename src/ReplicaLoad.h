#pragma once

/// Event: a lagging load report of a backend server.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <vector>

namespace jayhold {

struct ReplicaLoad {
    ReplicaId replica;
    /// Increases with every report. An older report is ignored.
    std::uint64_t sequence;
    /// Estimated time at which the report was made.
    TimePoint asOf;
    std::uint32_t running;
    std::uint32_t waiting;
    std::uint32_t freeMemoryBlocks;
    /// Requests of this instance for which the backend server holds memory.
    std::vector<RequestId> held;
};

}
