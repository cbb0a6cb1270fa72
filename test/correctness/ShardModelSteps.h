#pragma once

/// What the parts of ShardModel share: the choice of attempts, and the comparison of a shard before and after an
/// event.

#include "ShardModel.h"

namespace jayhold::test {

/// Picks a recent entry in most cases, and any earlier one otherwise.
template <typename Starts>
auto pick(const Starts& starts, const ModelStep& step)
{
    const std::size_t back = step.second < 200 ? step.second % 4U : step.third * 7U;
    return starts[starts.size() - 1 - back % starts.size()];
}

inline auto sameCounts(const ShardSummary& left, const ShardSummary& right) -> bool
{
    return left.queued == right.queued && left.prefilling == right.prefilling && left.decoding == right.decoding
        && left.reservedSlots == right.reservedSlots && left.reservedMemoryBlocks == right.reservedMemoryBlocks
        && left.finished == right.finished && left.refused == right.refused && left.retries == right.retries
        && left.wastedPrefillTokens == right.wastedPrefillTokens;
}

}
