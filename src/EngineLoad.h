#pragma once

/// An engine's report of its load and of the requests for which it holds memory.

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

struct HeldRequest {
    std::string requestId;
    std::string owner;
};

struct EngineLoad {
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t freeMemoryBlocks = 0;
    std::vector<HeldRequest> held;
};

}
