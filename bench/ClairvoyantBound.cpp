#include "ClairvoyantBound.h"

#include "EventQueue.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace jayhold::bench {

namespace {

constexpr double slotSeconds = 0.5;
/// Slots after the last arrival; all later time falls into one last slot without limit.
constexpr std::size_t slotsAfterEnd = 240;
/// Weights of the prefill work in the joined sum; the rest is decode work.
constexpr double prefillWeights[] = { 0, 0.25, 0.5, 0.75, 1 };

struct Demand {
    std::size_t firstSlot = 0;
    std::size_t lastSlot = 0;
    /// Share of one second of all engines.
    double prefill = 0;
    double decode = 0;
};

/// Capacity of each slot, in seconds of all engines.
struct Capacity {
    std::vector<double> prefill;
    std::vector<double> decode;
};

auto engineCount(const std::vector<std::uint32_t>& byZone) -> std::size_t
{
    return std::accumulate(byZone.begin(), byZone.end(), std::size_t { 0 });
}

auto overlapSeconds(double from, double until, double slotBegin) -> double
{
    return std::max(0.0, std::min(until, slotBegin + slotSeconds) - std::max(from, slotBegin));
}

auto capacityOf(const Workload& workload, const Faults& faults, std::size_t slots) -> Capacity
{
    const auto prefills = engineCount(workload.prefillEngines);
    const auto decodes = engineCount(workload.decodeEngines);
    Capacity result { std::vector<double>(slots, slotSeconds), std::vector<double>(slots, slotSeconds) };
    for (const auto& death : faults.deaths) {
        const bool isPrefill = death.engine < prefills;
        auto& capacities = isPrefill ? result.prefill : result.decode;
        const auto engines = static_cast<double>(isPrefill ? prefills : decodes);
        for (std::size_t slot = 0; slot < slots; ++slot) {
            const auto from = toSeconds(death.at.time_since_epoch());
            const auto until = toSeconds(death.until.time_since_epoch());
            capacities[slot] -= overlapSeconds(from, until, static_cast<double>(slot) * slotSeconds) / engines;
        }
    }
    return result;
}

auto slotOf(double seconds, std::size_t slots) -> std::size_t
{
    return std::min(static_cast<std::size_t>(std::max(0.0, seconds) / slotSeconds), slots - 1);
}

/// @return whether the request can meet its first-token target when it is alone.
auto feasibleAlone(const Workload& workload, const RequestKind& kind, double promptTokens, double computedTokens) -> bool
{
    const auto& engines = workload.engines;
    const auto prefill = computedTokens / engines.prefillTokensPerSecond;
    const auto transfer = promptTokens * static_cast<double>(engines.kvBytesPerToken) / static_cast<double>(engines.linkBytesPerSecond);
    const auto rest = toSeconds(tokenGap(engines, 1) + 2 * workload.clientLatency);
    return prefill + transfer + rest <= toSeconds(kind.firstToken);
}

/// @return the demand of every request that counts and can be served well.
auto demandsOf(const Workload& workload, std::span<const CallerRequest> requests, std::size_t slots) -> std::vector<Demand>
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
        if (!request.counts())
            continue;
        const auto& kind = workload.kinds[static_cast<std::size_t>(request.kind)].kind;
        const auto shared = std::ranges::count_if(request.prefixBlocks, [&](std::uint64_t block) { return uses[block] > 1; });
        const auto computed = static_cast<double>(request.promptTokens) - static_cast<double>(shared) * engines.prefixBlockTokens;
        if (!feasibleAlone(workload, kind, request.promptTokens, computed))
            continue;
        const auto arrival = toSeconds(request.arrival.time_since_epoch());
        const auto due = arrival + toSeconds(kind.firstToken) + (request.outputTokens - 1) * toSeconds(kind.tokenGap);
        demands.push_back({ slotOf(arrival, slots), slotOf(due, slots), std::max(1.0, computed) / prefillRate, request.outputTokens / decodeRate });
    }
    return demands;
}

/// Free capacity of every window of slots.
class Windows {
public:
    explicit Windows(const std::vector<double>& capacity)
        : m_slots(capacity.size())
        , m_free(m_slots * m_slots)
    {
        for (std::size_t first = 0; first < m_slots; ++first) {
            double sum = 0;
            for (auto last = first; last < m_slots; ++last)
                m_free[first * m_slots + last] = sum += capacity[last];
        }
    }

    /// Takes as much of the work as fits between the two slots.
    /// @return the part that was taken.
    auto take(std::size_t firstSlot, std::size_t lastSlot, double work) -> double
    {
        auto taken = work;
        for (std::size_t first = 0; first <= firstSlot; ++first) {
            for (auto last = lastSlot; last < m_slots; ++last)
                taken = std::min(taken, m_free[first * m_slots + last]);
        }
        taken = std::max(0.0, taken);
        for (std::size_t first = 0; first <= firstSlot; ++first) {
            for (auto last = lastSlot; last < m_slots; ++last)
                m_free[first * m_slots + last] -= taken;
        }
        return taken;
    }

private:
    std::size_t m_slots;
    std::vector<double> m_free;
};

auto boundFor(double prefillWeight, const Capacity& capacity, std::vector<Demand> demands) -> double
{
    const auto work = [&](const Demand& demand) { return prefillWeight * demand.prefill + (1 - prefillWeight) * demand.decode; };
    std::vector<double> slots;
    for (std::size_t slot = 0; slot < capacity.prefill.size(); ++slot)
        slots.push_back(prefillWeight * capacity.prefill[slot] + (1 - prefillWeight) * capacity.decode[slot]);
    // All time after the horizon is in the last slot.
    slots.back() = 1e9;
    std::ranges::sort(demands, {}, work);
    Windows windows(slots);
    double served = 0;
    for (const auto& demand : demands)
        served += windows.take(demand.firstSlot, demand.lastSlot, work(demand)) / work(demand);
    return served;
}

}

auto clairvoyantBound(const Workload& workload, const Faults& faults, std::span<const CallerRequest> requests, Duration length) -> double
{
    const auto slots = static_cast<std::size_t>(toSeconds(length) / slotSeconds) + slotsAfterEnd;
    const auto capacity = capacityOf(workload, faults, slots);
    const auto demands = demandsOf(workload, requests, slots);
    auto bound = static_cast<double>(demands.size());
    for (const auto weight : prefillWeights)
        bound = std::min(bound, boundFor(weight, capacity, demands));
    return bound;
}

}
