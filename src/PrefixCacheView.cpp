#include "PrefixCacheView.h"

#include <algorithm>

namespace jayhold {

namespace {

/// About 6 MB; with blocks of 256 tokens, prefixes of 25 million tokens.
constexpr std::size_t largestView = 100'000;
/// Blocks of a prompt that are noted before the engine reports them; bounds the cost of a decision.
constexpr std::size_t notedBlocks = 32;

/// @return the number of leading blocks for which the predicate holds; since blocks are chained, one
/// that is there implies those before it.
template <typename Predicate>
auto leading(std::span<const std::uint64_t> blocks, Predicate isThere) -> std::size_t
{
    const auto end = std::partition_point(blocks.begin(), blocks.end(), isThere);
    return static_cast<std::size_t>(end - blocks.begin());
}

}

auto PrefixCacheView::apply(const CacheEvents& events) -> void
{
    auto& known = m_replicas[events.replica];
    if (known.sequenced && events.lastSequence <= known.lastSequence)
        return;
    if (known.sequenced && events.firstSequence > known.lastSequence + 1)
        ++known.epoch;
    known.sequenced = true;
    known.lastSequence = events.lastSequence;
    for (const auto block : events.stored)
        store(events.replica, block);
    for (const auto block : events.evicted)
        evict(events.replica, block);
}

auto PrefixCacheView::recordComputed(ReplicaId replica, std::span<const std::uint64_t> blocks) -> void
{
    for (const auto block : blocks.first(std::min(blocks.size(), notedBlocks)))
        store(replica, block);
}

auto PrefixCacheView::dropReplica(ReplicaId replica) -> void
{
    const auto known = m_replicas.find(replica);
    if (known == m_replicas.end())
        return;
    ++known->second.epoch;
    known->second.sequenced = false;
}

auto PrefixCacheView::matchedBlocks(std::span<const std::uint64_t> blocks) const -> std::size_t
{
    return leading(blocks, [&](std::uint64_t block) {
        BlockHolders holders {};
        return replicasWithBlock(block, holders) > 0;
    });
}

auto PrefixCacheView::matchedBlocksOn(ReplicaId replica, std::span<const std::uint64_t> blocks) const -> std::size_t
{
    return leading(blocks, [&](std::uint64_t block) { return has(replica, block); });
}

auto PrefixCacheView::replicasWithBlock(std::uint64_t block, BlockHolders& holders) const -> std::size_t
{
    const auto entry = m_blocks.find(block);
    if (entry == m_blocks.end())
        return 0;
    std::size_t count = 0;
    for (const auto& holder : entry->second) {
        if (isCurrent(holder))
            holders.at(count++) = holder.replica;
    }
    return count;
}

auto PrefixCacheView::isCurrent(const Holder& holder) const -> bool
{
    if (!holder.epoch)
        return false;
    const auto known = m_replicas.find(holder.replica);
    return known != m_replicas.end() && known->second.epoch == holder.epoch;
}

auto PrefixCacheView::has(ReplicaId replica, std::uint64_t block) const -> bool
{
    const auto entry = m_blocks.find(block);
    if (entry == m_blocks.end())
        return false;
    return std::any_of(entry->second.begin(), entry->second.end(), [&](const Holder& holder) {
        return holder.replica == replica && isCurrent(holder);
    });
}

auto PrefixCacheView::store(ReplicaId replica, std::uint64_t block) -> void
{
    const auto epoch = m_replicas[replica].epoch;
    const auto [entry, isNew] = m_blocks.try_emplace(block);
    auto& holders = entry->second;
    auto place = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) { return holder.epoch && holder.replica == replica; });
    if (place == holders.end())
        place = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) { return !isCurrent(holder); });
    // The newest holder is the least likely to evict the block soon.
    if (place == holders.end()) {
        place = holders.begin();
        std::rotate(place, place + 1, holders.end());
        place = holders.end() - 1;
    }
    *place = { replica, epoch };
    if (!isNew)
        return;
    m_order.push_back(block);
    if (m_order.size() <= largestView)
        return;
    m_blocks.erase(m_order.front());
    m_order.pop_front();
}

auto PrefixCacheView::evict(ReplicaId replica, std::uint64_t block) -> void
{
    const auto entry = m_blocks.find(block);
    if (entry == m_blocks.end())
        return;
    for (auto& holder : entry->second) {
        if (holder.replica == replica)
            holder.epoch = 0;
    }
}

}
