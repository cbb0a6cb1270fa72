#include "PrefixCacheView.h"

#include <algorithm>

namespace jayhold {

namespace {

/// The view takes about 6 MB. With blocks of 256 tokens it covers prefixes of 25 million tokens.
constexpr std::size_t maxCachedBlocks = 100'000;
/// Number of blocks of a prompt that are recorded before the engine reports them. Bounds the cost of a
/// decision.
constexpr std::size_t maxRecordedBlocks = 32;

/// @return the number of leading blocks for which the predicate holds. Blocks are chained, so a cached
/// block implies that those before it are cached.
template <typename Predicate>
auto countLeading(std::span<const std::uint64_t> blocks, Predicate isCached) -> std::size_t
{
    const auto end = std::partition_point(blocks.begin(), blocks.end(), isCached);
    return static_cast<std::size_t>(end - blocks.begin());
}

}

auto PrefixCacheView::apply(const CacheEvents& events) -> void
{
    auto& record = m_replicas[events.replica];
    if (record.sequenced && events.lastSequence <= record.lastSequence)
        return;
    if (record.sequenced && events.firstSequence > record.lastSequence + 1)
        ++record.epoch;
    record.sequenced = true;
    record.lastSequence = events.lastSequence;
    for (const auto block : events.stored)
        store(events.replica, block);
    for (const auto block : events.evicted)
        evict(events.replica, block);
}

auto PrefixCacheView::recordComputed(ReplicaId replica, std::span<const std::uint64_t> blocks) -> void
{
    for (const auto block : blocks.first(std::min(blocks.size(), maxRecordedBlocks)))
        store(replica, block);
}

auto PrefixCacheView::dropReplica(ReplicaId replica) -> void
{
    const auto record = m_replicas.find(replica);
    if (record == m_replicas.end())
        return;
    ++record->second.epoch;
    record->second.sequenced = false;
}

auto PrefixCacheView::matchedBlocks(std::span<const std::uint64_t> blocks) const -> std::size_t
{
    return countLeading(blocks, [&](std::uint64_t block) {
        BlockHolders holders {};
        return replicasWithBlock(block, holders) > 0;
    });
}

auto PrefixCacheView::matchedBlocksOn(ReplicaId replica, std::span<const std::uint64_t> blocks) const -> std::size_t
{
    return countLeading(blocks, [&](std::uint64_t block) { return has(replica, block); });
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
    const auto record = m_replicas.find(holder.replica);
    return record != m_replicas.end() && record->second.epoch == holder.epoch;
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
    auto target = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) { return holder.epoch && holder.replica == replica; });
    if (target == holders.end())
        target = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) { return !isCurrent(holder); });
    // The newest holder is the least likely to evict the block soon.
    if (target == holders.end()) {
        target = holders.begin();
        std::rotate(target, target + 1, holders.end());
        target = holders.end() - 1;
    }
    *target = { replica, epoch };
    if (!isNew)
        return;
    m_order.push_back(block);
    if (m_order.size() <= maxCachedBlocks)
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
