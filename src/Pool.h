#pragma once

/// A pool of identical backend servers in one availability zone. A pool declares no addresses. Its
/// backend servers are those that the platform's instance list assigns to the pool's name.

#include "PoolRole.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct Pool {
    std::string name;
    std::string availabilityZone;
    PoolRole role = PoolRole::Plain;
    /// Number of requests that one backend server runs concurrently.
    std::int64_t slots = 20;
    /// KV cache memory of one engine, in memory blocks; unused for plain pools.
    std::int64_t memoryBlocks = 64;
    /// Number of tokens whose KV cache fits into one memory block.
    std::int64_t memoryBlockTokens = 2'000;
    /// Bandwidth of the link over which one engine sends KV cache, in bytes per second.
    std::int64_t linkBytesPerSecond = 1'000'000'000;

    auto operator==(const Pool&) const -> bool = default;
};

}
