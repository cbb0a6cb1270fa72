#pragma once

/// The prefix cache of a fake prefill engine: an LRU cache of prompt blocks with a numbered log of its
/// changes.

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace jayhold::bench {

class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacityBlocks)
        : m_capacity(capacityBlocks)
    {
    }

    /// @return the number of leading blocks that are cached. They become the most recently used ones.
    auto lookUp(std::span<const std::uint64_t> blocks) -> std::size_t;
    auto store(std::span<const std::uint64_t> blocks) -> void;
    auto clear() -> void;
    auto size() const -> std::size_t { return m_lruOrder.size(); }

    struct Changes {
        std::uint64_t firstSequence;
        std::uint64_t lastSequence;
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
    };
    /// Returns and clears the changes since the last call; there are none if lastSequence <
    /// firstSequence.
    auto drainChanges() -> Changes;
    /// @return all cached blocks as one change that covers the sequence numbers from 1 to the latest.
    auto snapshot() const -> Changes;

private:
    auto touch(std::uint64_t block) -> bool;

    std::size_t m_capacity;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_drainedSequence = 0;
    std::list<std::uint64_t> m_lruOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::vector<std::uint64_t> m_stored;
    std::vector<std::uint64_t> m_evicted;
};

}
