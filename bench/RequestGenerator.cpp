#include "RequestGenerator.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace jayhold::bench {

namespace {

/// Fraction of the day over which the rate rises at the start and falls at the end.
constexpr double rampFraction = 0.15;
/// The rate at both ends of the day, relative to the plateau.
constexpr double offPeakRate = 0.4;
/// Amplitude of the change of a zone's weight over the day, relative to its mean.
constexpr double zoneShareAmplitude = 0.5;

using Random = std::mt19937_64;

auto uniform(Random& random) -> double
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

/// Hashes two numbers with splitmix64, for the identities of prompt blocks.
auto hashPair(std::uint64_t left, std::uint64_t right) -> std::uint64_t
{
    auto value = left * 0x9e3779b97f4a7c15U + right + 0x632be59bd9b4e019U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

auto drawSize(Random& random, double median, double sigma, std::uint32_t maximum) -> std::uint32_t
{
    const auto size = std::lognormal_distribution<double>(std::log(median), sigma)(random);
    return static_cast<std::uint32_t>(std::clamp(size, 8.0, static_cast<double>(maximum)));
}

auto drawKind(Random& random, const Workload& workload) -> std::size_t
{
    auto draw = uniform(random);
    for (std::size_t kind = 0; kind + 1 < workload.kinds.size(); ++kind) {
        draw -= workload.kinds[kind].share;
        if (draw < 0)
            return kind;
    }
    return workload.kinds.size() - 1;
}

auto drawZone(Random& random, const Workload& workload, double dayFraction) -> ZoneId
{
    const auto zones = workload.entryInstances.size();
    std::vector<double> weights;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        const auto phase = static_cast<double>(zone) / static_cast<double>(zones);
        weights.push_back(1 + zoneShareAmplitude * std::cos(2 * std::numbers::pi * (dayFraction - phase)));
    }
    return ZoneId { static_cast<std::uint16_t>(std::discrete_distribution<unsigned>(weights.begin(), weights.end())(random)) };
}

/// Generates the prefix block hashes: the shared blocks of a template, then blocks unique to the request.
auto drawBlocks(Random& random, std::size_t kindIndex, const WorkloadKind& kind, std::uint32_t promptTokens, std::uint32_t blockTokens) -> std::vector<std::uint64_t>
{
    // Squaring the random number favours the first templates.
    const auto draw = uniform(random);
    const auto chosen = static_cast<std::uint64_t>(draw * draw * kind.templates);
    const auto shared = kind.templateTokens / blockTokens;
    const auto unique = random();
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t index = 0; index < promptTokens / blockTokens; ++index)
        blocks.push_back(index < shared ? hashPair(hashPair(kindIndex + 1, chosen + 1), index) : hashPair(unique, index));
    return blocks;
}

auto drawRequest(Random& random, const Workload& workload, TimePoint arrival, double dayFraction) -> CallerRequest
{
    const auto kindIndex = drawKind(random, workload);
    const auto& kind = workload.kinds[kindIndex];
    CallerRequest request;
    request.arrival = arrival;
    request.zone = drawZone(random, workload, dayFraction);
    request.instanceDraw = random();
    request.kind = KindId { static_cast<std::uint16_t>(kindIndex) };
    request.customer = kind.customer;
    request.promptTokens = drawSize(random, kind.promptMedian, kind.promptSigma, kind.maxPromptTokens);
    request.outputTokens = drawSize(random, kind.outputMedian, kind.outputSigma, kind.maxOutputTokens);
    request.maxTokens = kind.maxOutputTokens;
    request.prefixBlocks = drawBlocks(random, kindIndex, kind, request.promptTokens, workload.engines.prefixBlockTokens);
    request.signature = random();
    return request;
}

auto addCrashingCalls(std::vector<CallerRequest>& requests, const Faults::CrashingCaller& caller, Random& random, const Workload& workload) -> void
{
    auto call = drawRequest(random, workload, caller.first, 0.5);
    call.crashesEngines = true;
    call.outputTokens = std::max(call.outputTokens, 50U);
    for (std::uint32_t time = 0; time < caller.times; ++time) {
        call.arrival = caller.first + caller.interval * time;
        call.instanceDraw = random();
        requests.push_back(call);
    }
    std::ranges::stable_sort(requests, {}, &CallerRequest::arrival);
}

}

auto relativeArrivalRate(double dayFraction) -> double
{
    const auto toEdge = std::min(dayFraction, 1 - dayFraction);
    return offPeakRate + (1 - offPeakRate) * std::min(1.0, toEdge / rampFraction);
}

auto generateRequests(const Workload& workload, const Faults& faults, const RunPlan& plan) -> std::vector<CallerRequest>
{
    Random random(plan.seed);
    const auto plateau = capacity(workload) * plan.load;
    const auto length = toSeconds(plan.length);
    std::exponential_distribution<double> gap(plateau);
    std::vector<CallerRequest> requests;
    // Thinning: generates arrivals at the plateau's rate and accepts each with the relative rate of its
    // time.
    for (auto time = gap(random); time < length; time += gap(random)) {
        if (uniform(random) >= relativeArrivalRate(time / length))
            continue;
        auto request = drawRequest(random, workload, TimePoint {} + fromSeconds(time), time / length);
        if (uniform(random) < faults.cancelledShare)
            request.cancelAfter = fromSeconds(uniform(random) * 3);
        requests.push_back(std::move(request));
    }
    if (faults.crashingCaller)
        addCrashingCalls(requests, *faults.crashingCaller, random, workload);
    return requests;
}

}
