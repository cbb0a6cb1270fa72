#include "CallerCost.h"

#include <algorithm>
#include <tuple>

namespace jayhold {

namespace {

constexpr int wholePercent = 100;

/// @return memory blocks times the microseconds for which they are occupied.
auto occupancy(const RequestWork& work, std::uint64_t promptTokens, std::uint64_t outputTokens) -> double
{
    const auto time = static_cast<double>(promptTokens) * static_cast<double>(work.promptTokenTime.count()) + static_cast<double>(outputTokens) * static_cast<double>(work.outputTokenTime.count());
    return time * std::max(work.memoryBlocks, 1U);
}

/// Large requests cost as much as small ones. Otherwise they would be refused more often than their kind.
auto doneShare(const RequestWork& work) -> double
{
    const auto all = occupancy(work, work.promptTokens, work.outputTokens);
    const auto left = occupancy(work, work.promptTokensLeft, work.outputTokensLeft);
    return all > 0 ? std::clamp(1 - left / all, 0.0, 1.0) : 0;
}

}

auto CallerCost::operator<=>(const CallerCost& other) const -> std::partial_ordering
{
    // In rank, arrival and id, the smaller value has the larger cost.
    return std::tie(isStarted, other.rank, hasReturned, isOnTime, doneShare, other.arrivedAt, other.id)
        <=> std::tie(other.isStarted, rank, other.hasReturned, other.isOnTime, other.doneShare, arrivedAt, id);
}

auto callerCost(const RequestWork& work, TimePoint now) -> CallerCost
{
    return {
        .isStarted = work.promptTokensLeft < work.promptTokens || work.outputTokensLeft < work.outputTokens,
        .rank = work.rank,
        .hasReturned = work.deadline - work.arrivedAt < work.allowedTime * returnedTimePercent / wholePercent,
        .isOnTime = now <= work.latestOnTimeStart,
        .doneShare = doneShare(work),
        .arrivedAt = work.arrivedAt,
        .id = work.id,
    };
}

auto cheapestRefusal(std::span<const CallerCost> costs) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::min_element(costs, [](const CallerCost& left, const CallerCost& right) { return left < right; }) - costs.begin());
}

}
