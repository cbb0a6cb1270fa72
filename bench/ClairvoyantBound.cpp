#include "ClairvoyantBound.h"

#include "EventQueue.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace jayhold::bench {

namespace {

constexpr double intervalSeconds = 0.5;
/// Time intervals after the last arrival. All later time belongs to the last interval, which has
/// unlimited capacity.
constexpr std::size_t intervalsAfterEnd = 240;
/// Weights of the prefill work in the weighted sum; the decode work has the remaining weight.
constexpr double prefillWeights[] = { 0, 0.25, 0.5, 0.75, 1 };

struct Demand {
    std::size_t firstInterval = 0;
    std::size_t lastInterval = 0;
    /// Work in seconds of all engines of the role.
    double prefill = 0;
    double decode = 0;
};

/// Capacity of each time interval, in seconds of all engines of the role.
struct Capacity {
    std::vector<double> prefill;
    std::vector<double> decode;
};

auto engineCount(const std::vector<std::uint32_t>& byZone) -> std::size_t
{
    return std::accumulate(byZone.begin(), byZone.end(), std::size_t { 0 });
}

auto overlapSeconds(double from, double until, double intervalBegin) -> double
{
    return std::max(0.0, std::min(until, intervalBegin + intervalSeconds) - std::max(from, intervalBegin));
}

auto capacityOf(const Workload& workload, const Faults& faults, std::size_t intervals) -> Capacity
{
    const auto prefills = engineCount(workload.prefillEngines);
    const auto decodes = engineCount(workload.decodeEngines);
    Capacity result { std::vector<double>(intervals, intervalSeconds), std::vector<double>(intervals, intervalSeconds) };
    for (const auto& outage : faults.outages) {
        const bool isPrefill = outage.engine < prefills;
        auto& capacities = isPrefill ? result.prefill : result.decode;
        const auto engines = static_cast<double>(isPrefill ? prefills : decodes);
        for (std::size_t interval = 0; interval < intervals; ++interval) {
            const auto from = toSeconds(outage.at.time_since_epoch());
            const auto until = toSeconds(outage.until.time_since_epoch());
            capacities[interval] -= overlapSeconds(from, until, static_cast<double>(interval) * intervalSeconds) / engines;
        }
    }
    return result;
}

auto intervalOf(double seconds, std::size_t intervals) -> std::size_t
{
    return std::min(static_cast<std::size_t>(std::max(0.0, seconds) / intervalSeconds), intervals - 1);
}

/// @return whether the request can meet its first-token target if it runs alone.
auto feasibleAlone(const Workload& workload, const RequestKind& kind, double promptTokens, double computedTokens) -> bool
{
    const auto& engines = workload.engines;
    const auto prefill = computedTokens / engines.prefillTokensPerSecond;
    const auto transfer = promptTokens * static_cast<double>(engines.kvBytesPerToken) / static_cast<double>(engines.linkBytesPerSecond);
    const auto rest = toSeconds(tokenGap(engines, 1) + 2 * workload.clientLatency);
    return prefill + transfer + rest <= toSeconds(kind.firstToken);
}

/// @return the demand of every request that counts for goodput and can meet its first-token target.
auto demandsOf(const Workload& workload, std::span<const CallerRequest> requests, std::size_t intervals) -> std::vector<Demand>
{
    std::unordered_map<std::uint64_t, std::uint32_t> uses;
    for (const auto& request : requests) {
        for (const auto block : request.prefixBlocks)
            ++uses[block];
    }
    const auto& engines = workload.engines;
    const auto prefillRate = engines.prefillTokensPerSecond * static_cast<double>(engineCount(workload.prefillEngines));
    const auto decodeRate = decodeTokensPerSecond(engines) * static_cast<double>(engineCount(workload.decodeEngines));
    std::vector<Demand> demands;
    for (const auto& request : requests) {
        if (!request.countsForGoodput())
            continue;
        const auto& kind = workload.kinds[static_cast<std::size_t>(request.kind)].kind;
        const auto shared = std::ranges::count_if(request.prefixBlocks, [&](std::uint64_t block) { return uses[block] > 1; });
        const auto computed = static_cast<double>(request.promptTokens) - static_cast<double>(shared) * engines.prefixBlockTokens;
        if (!feasibleAlone(workload, kind, request.promptTokens, computed))
            continue;
        const auto arrival = toSeconds(request.arrival.time_since_epoch());
        const auto due = arrival + toSeconds(kind.firstToken) + (request.outputTokens - 1) * toSeconds(kind.tokenGap);
        demands.push_back({ intervalOf(arrival, intervals), intervalOf(due, intervals), std::max(1.0, computed) / prefillRate, request.outputTokens / decodeRate });
    }
    return demands;
}

/// Free capacity of every window of consecutive time intervals.
class Windows {
public:
    explicit Windows(const std::vector<double>& capacity)
        : m_intervals(capacity.size())
        , m_free(m_intervals * m_intervals)
    {
        for (std::size_t first = 0; first < m_intervals; ++first) {
            double sum = 0;
            for (auto last = first; last < m_intervals; ++last)
                m_free[first * m_intervals + last] = sum += capacity[last];
        }
    }

    /// Allocates as much of the work as fits between the two intervals.
    /// @return the allocated work.
    auto allocate(std::size_t firstInterval, std::size_t lastInterval, double work) -> double
    {
        auto allocated = work;
        for (std::size_t first = 0; first <= firstInterval; ++first) {
            for (auto last = lastInterval; last < m_intervals; ++last)
                allocated = std::min(allocated, m_free[first * m_intervals + last]);
        }
        allocated = std::max(0.0, allocated);
        for (std::size_t first = 0; first <= firstInterval; ++first) {
            for (auto last = lastInterval; last < m_intervals; ++last)
                m_free[first * m_intervals + last] -= allocated;
        }
        return allocated;
    }

private:
    std::size_t m_intervals;
    std::vector<double> m_free;
};

auto boundFor(double prefillWeight, const Capacity& capacity, std::vector<Demand> demands) -> double
{
    const auto work = [&](const Demand& demand) { return prefillWeight * demand.prefill + (1 - prefillWeight) * demand.decode; };
    std::vector<double> intervals;
    for (std::size_t interval = 0; interval < capacity.prefill.size(); ++interval)
        intervals.push_back(prefillWeight * capacity.prefill[interval] + (1 - prefillWeight) * capacity.decode[interval]);
    // The last interval contains all time after the horizon.
    intervals.back() = 1e9;
    std::ranges::sort(demands, {}, work);
    Windows windows(intervals);
    double served = 0;
    for (const auto& demand : demands)
        served += windows.allocate(demand.firstInterval, demand.lastInterval, work(demand)) / work(demand);
    return served;
}

}

auto clairvoyantBound(const Workload& workload, const Faults& faults, std::span<const CallerRequest> requests, Duration length) -> double
{
    const auto intervals = static_cast<std::size_t>(toSeconds(length) / intervalSeconds) + intervalsAfterEnd;
    const auto capacity = capacityOf(workload, faults, intervals);
    const auto demands = demandsOf(workload, requests, intervals);
    auto bound = static_cast<double>(demands.size());
    for (const auto weight : prefillWeights)
        bound = std::min(bound, boundFor(weight, capacity, demands));
    return bound;
}

}
