#pragma once

/// The prefix cache of a stand-in engine. It holds a limited number of block hashes with LRU eviction
/// and a log of its changes, which is published with a delay and may have gaps.

#include "CacheChange.h"

#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace jayhold::standin {

class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// @return the number of leading blocks that are cached; marks them as recently used.
    auto matchPrefix(std::span<const std::uint64_t> blocks) -> std::size_t;

    /// Stores the blocks of a prompt.
    /// @param changesToLose number of changes still to be lost; decremented if this change is lost.
    auto store(std::span<const std::uint64_t> blocks, TimePoint now, std::int64_t& changesToLose) -> void;

    /// @return changes with a greater sequence number that were made at or before the given time.
    auto changesAfter(std::uint64_t sequence, TimePoint publishedUpTo) const -> std::vector<CacheChange>;

private:
    auto touch(std::uint64_t block) -> bool;
    auto evictLeastRecentlyUsed(CacheChange& change) -> void;

    const std::size_t m_capacity;
    std::list<std::uint64_t> m_lruOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::uint64_t m_lastSequence = 0;
    std::vector<CacheChange> m_changes;
};

}
