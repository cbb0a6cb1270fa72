#pragma once

/// Seats of the decode replicas of a shard, kept up to date with every change of a replica.

#include <cstdint>

namespace jayhold {

struct DecodeSeats {
    /// Seats of the live replicas.
    std::uint64_t total = 0;
    /// Those that can be taken now, on replicas that have memory left.
    std::uint64_t free = 0;
};

}
