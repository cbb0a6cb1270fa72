#include "PrefixCache.h"

#include <utility>

namespace jayhold::bench {

auto PrefixCache::touch(std::uint64_t block) -> bool
{
    const auto found = m_positions.find(block);
    if (found == m_positions.end())
        return false;
    m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, found->second);
    return true;
}

auto PrefixCache::lookUp(std::span<const std::uint64_t> blocks) -> std::size_t
{
    std::size_t hits = 0;
    while (hits < blocks.size() && touch(blocks[hits]))
        ++hits;
    return hits;
}

auto PrefixCache::store(std::span<const std::uint64_t> blocks) -> void
{
    for (const auto block : blocks) {
        if (touch(block))
            continue;
        m_lruOrder.push_front(block);
        m_positions[block] = m_lruOrder.begin();
        m_stored.push_back(block);
        ++m_sequence;
        if (m_lruOrder.size() <= m_capacity)
            continue;
        m_evicted.push_back(m_lruOrder.back());
        ++m_sequence;
        m_positions.erase(m_lruOrder.back());
        m_lruOrder.pop_back();
    }
}

auto PrefixCache::clear() -> void
{
    m_evicted.insert(m_evicted.end(), m_lruOrder.begin(), m_lruOrder.end());
    m_sequence += m_lruOrder.size();
    m_lruOrder.clear();
    m_positions.clear();
}

auto PrefixCache::drainChanges() -> Changes
{
    const auto first = m_drainedSequence + 1;
    m_drainedSequence = m_sequence;
    return { first, m_sequence, std::exchange(m_stored, {}), std::exchange(m_evicted, {}) };
}

auto PrefixCache::snapshot() const -> Changes
{
    return { 1, m_sequence, { m_lruOrder.begin(), m_lruOrder.end() }, {} };
}

}
