#pragma once

/// Prefix blocks that the prefill replicas are assumed to cache, according to delayed cache events and
/// the shard's own prefills. The memory is bounded, and dropping one replica takes constant time.

#include "CacheEvents.h"
#include "Identifiers.h"

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>

namespace jayhold {

/// Replicas that have a block. Three are enough to choose from.
using BlockHolders = std::array<ReplicaId, 3>;

class PrefixCacheView {
public:
    /// Applies a batch of events. After a gap in the sequence, everything known of the replica is
    /// dropped.
    auto apply(const CacheEvents& events) -> void;
    /// Records that the replica has just computed a prompt with these blocks.
    auto recordComputed(ReplicaId replica, std::span<const std::uint64_t> blocks) -> void;
    auto dropReplica(ReplicaId replica) -> void;

    /// @return how many of the chained blocks, counted from the first, are cached on at least one
    /// replica.
    auto matchedBlocks(std::span<const std::uint64_t> blocks) const -> std::size_t;
    /// @return how many of the chained blocks, counted from the first, are cached on the replica.
    auto matchedBlocksOn(ReplicaId replica, std::span<const std::uint64_t> blocks) const -> std::size_t;
    /// Fills `holders` with replicas that have the block.
    /// @return how many there are.
    auto replicasWithBlock(std::uint64_t block, BlockHolders& holders) const -> std::size_t;

private:
    struct Holder {
        ReplicaId replica {};
        /// The epoch of the replica when the block was recorded. Zero stands for none.
        std::uint32_t epoch = 0;
    };
    using Entry = std::array<Holder, std::tuple_size_v<BlockHolders>>;
    struct ReplicaRecord {
        /// Incremented when the replica is dropped. Entries of older epochs are invalid, so that dropping
        /// needs no pass over the blocks.
        std::uint32_t epoch = 1;
        std::uint64_t lastSequence = 0;
        bool sequenced = false;
    };

    auto isCurrent(const Holder& holder) const -> bool;
    auto has(ReplicaId replica, std::uint64_t block) const -> bool;
    auto store(ReplicaId replica, std::uint64_t block) -> void;
    auto evict(ReplicaId replica, std::uint64_t block) -> void;

    std::unordered_map<std::uint64_t, Entry> m_blocks;
    std::deque<std::uint64_t> m_order;
    std::unordered_map<ReplicaId, ReplicaRecord> m_replicas;
};

}
