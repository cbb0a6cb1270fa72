#pragma once

/// A pool of equal backend servers in one availability zone. A pool names no addresses: its
/// backend servers are those that the platform's instance list gives for the pool's name.

#include "PoolRole.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct Pool {
    std::string name;
    std::string availabilityZone;
    PoolRole role = PoolRole::Plain;
    /// Requests that one backend server runs at once.
    std::int64_t slots = 20;
    /// Memory of one engine, in pieces; unused for plain pools.
    std::int64_t memoryBlocks = 64;
    /// Tokens whose KV cache one piece holds.
    std::int64_t memoryBlockTokens = 2'000;
    /// Rate of the link that carries KV cache out of one engine, in bytes per second.
    std::int64_t linkBytesPerSecond = 1'000'000'000;

    auto operator==(const Pool&) const -> bool = default;
};

}
