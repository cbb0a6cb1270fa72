#pragma once

/// Current contents and totals of a shard, for status, metrics and tests.

#include "Shard.h"

#include <cstdint>

namespace jayhold {

struct ShardSummary {
    std::uint64_t queued = 0;
    std::uint64_t prefilling = 0;
    std::uint64_t decoding = 0;
    /// Slots and memory blocks reserved by this shard on all replicas.
    std::uint64_t reservedSlots = 0;
    std::uint64_t reservedMemoryBlocks = 0;
    std::uint64_t liveReplicas = 0;
    /// Memory blocks of the live decode replicas that no instance is known to use.
    std::uint64_t freeMemoryBlocks = 0;
    double remainingRetries = 0;
    /// Totals since the start.
    std::uint64_t prefillTokens = 0;
    std::uint64_t wastedPrefillTokens = 0;
    std::uint64_t retries = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;
};

auto summarize(const Shard& shard) -> ShardSummary;

}
