#pragma once

/// What an entry instance has reserved on a backend server, as it reports it to its peers.

#include <cstdint>
#include <string>

namespace jayhold {

struct BackendUsage {
    std::string backend;
    std::uint32_t slots = 0;
    std::uint32_t memoryBlocks = 0;
    std::uint32_t prefillTokens = 0;

    auto operator==(const BackendUsage&) const -> bool = default;
};

}
