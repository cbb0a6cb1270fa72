#include "PrefixCache.h"

#include <utility>

namespace jayhold::bench {

auto PrefixCache::touch(std::uint64_t block) -> bool
{
    const auto found = m_places.find(block);
    if (found == m_places.end())
        return false;
    m_order.splice(m_order.begin(), m_order, found->second);
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
        m_order.push_front(block);
        m_places[block] = m_order.begin();
        m_stored.push_back(block);
        ++m_sequence;
        if (m_order.size() <= m_capacity)
            continue;
        m_evicted.push_back(m_order.back());
        ++m_sequence;
        m_places.erase(m_order.back());
        m_order.pop_back();
    }
}

auto PrefixCache::clear() -> void
{
    m_evicted.insert(m_evicted.end(), m_order.begin(), m_order.end());
    m_sequence += m_order.size();
    m_order.clear();
    m_places.clear();
}

auto PrefixCache::applyChanges() -> Changes
{
    const auto first = m_reported + 1;
    m_reported = m_sequence;
    return { first, m_sequence, std::exchange(m_stored, {}), std::exchange(m_evicted, {}) };
}

auto PrefixCache::snapshot() const -> Changes
{
    return { 1, m_sequence, { m_order.begin(), m_order.end() }, {} };
}

}
