#include "PrefixCache.h"

namespace jayhold::standin {

auto PrefixCache::touch(std::uint64_t block) -> bool
{
    const auto found = m_blocks.find(block);
    if (found == m_blocks.end())
        return false;
    m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second);
    return true;
}

auto PrefixCache::evictLeastRecentlyUsed(CacheChange& change) -> void
{
    change.evicted.push_back(m_lruOrder.front());
    m_blocks.erase(m_lruOrder.front());
    m_lruOrder.pop_front();
}

auto PrefixCache::matchPrefix(std::span<const std::uint64_t> blocks) -> std::size_t
{
    std::size_t count = 0;
    while (count < blocks.size() && touch(blocks[count]))
        ++count;
    return count;
}

auto PrefixCache::store(std::span<const std::uint64_t> blocks, TimePoint now, std::int64_t& changesToLose) -> void
{
    CacheChange change { 0, now, {}, {} };
    for (const auto block : blocks) {
        if (m_capacity == 0 || touch(block))
            continue;
        if (m_lruOrder.size() >= m_capacity)
            evictLeastRecentlyUsed(change);
        m_blocks[block] = m_lruOrder.insert(m_lruOrder.end(), block);
        change.stored.push_back(block);
    }
    if (change.stored.empty())
        return;
    change.sequence = ++m_lastSequence;
    if (changesToLose > 0)
        --changesToLose;
    else
        m_changes.push_back(std::move(change));
}

auto PrefixCache::changesAfter(std::uint64_t sequence, TimePoint publishedUpTo) const -> std::vector<CacheChange>
{
    std::vector<CacheChange> result;
    for (const auto& change : m_changes) {
        if (change.sequence > sequence && change.madeAt <= publishedUpTo)
            result.push_back(change);
    }
    return result;
}

}
