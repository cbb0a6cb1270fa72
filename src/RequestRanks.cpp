#include "RequestRanks.h"

#include "Deadlines.h"
#include "Estimates.h"
#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

auto rankOf(const ShardSettings& settings, KindId kind, CustomerId customer) -> RequestRank
{
    RequestRank rank;
    if (const auto index = static_cast<std::size_t>(customer); index < settings.customerPriorities.size())
        rank.customerPriority = settings.customerPriorities[index];
    if (const auto index = static_cast<std::size_t>(kind); index < settings.kinds.size())
        rank.kindPriority = settings.kinds[index].priority;
    return rank;
}

auto ranksOf(const ShardSettings& settings) -> std::vector<RequestRank>
{
    // A request without a customer, or without a known kind, has the default.
    auto customers = settings.customerPriorities;
    customers.push_back(defaultPriority);
    std::ranges::sort(customers);
    customers.erase(std::unique(customers.begin(), customers.end()), customers.end());
    std::vector<RequestRank> ranks;
    for (const auto customer : customers) {
        for (const auto& kind : settings.kinds)
            ranks.push_back({ customer, kind.priority });
    }
    std::ranges::sort(ranks);
    ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
    return ranks;
}

auto hasSeveralRanks(const ShardState& state) -> bool
{
    return state.ranks.size() > 1;
}

auto hasMoreUrgentRank(const ShardState& state, const ActiveRequest& request) -> bool
{
    return hasSeveralRanks(state) && state.ranks.front() < request.rank;
}

auto hasLessUrgentRank(const ShardState& state, const ActiveRequest& request) -> bool
{
    return hasSeveralRanks(state) && request.rank < state.ranks.back();
}

auto isMostUrgent(const ShardState& state, const ActiveRequest& request) -> bool
{
    return hasSeveralRanks(state) ? !hasMoreUrgentRank(state, request) : request.latencyClass == LatencyClass::Interactive;
}

auto hasReturned(const ShardState& state, const ActiveRequest& request) -> bool
{
    constexpr int wholePercent = 100;
    const auto allowedTime = std::chrono::duration_cast<Duration>(kindOf(state, request).deadline);
    return request.arrival.deadline - request.arrivedAt < allowedTime * returnedTimePercent / wholePercent;
}

auto callerCost(const DecisionContext& context, const ActiveRequest& request) -> CallerCost
{
    const auto& state = context.state;
    const auto tokens = std::max(expectedTokens(state, request), request.emitted);
    const auto isPrefilled = request.hadPrefillResult || request.emitted > 0;
    RequestWork work {
        .rank = request.rank,
        .arrivedAt = request.arrivedAt,
        .latestOnTimeStart = latestOnTimeStart(state, request),
        .deadline = request.arrival.deadline,
        .allowedTime = std::chrono::duration_cast<Duration>(kindOf(state, request).deadline),
        .promptTokens = request.arrival.promptTokens,
        .promptTokensLeft = isPrefilled ? 0 : request.arrival.promptTokens,
        .outputTokens = tokens,
        .outputTokensLeft = tokens - request.emitted,
        .memoryBlocks = request.decodeReserved.memoryBlocks,
        .promptTokenTime = Duration(static_cast<Duration::rep>(1e6 / state.rates.prefillTokensPerSecond.value())),
        .outputTokenTime = Duration(static_cast<Duration::rep>(1e6 / state.rates.tokensPerSecond.value())),
        .id = static_cast<std::uint64_t>(request.arrival.request),
    };
    return jayhold::callerCost(work, context.now);
}

}
