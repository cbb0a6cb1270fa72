#include "SpeedChecks.h"

namespace jayhold::soak {

namespace {

/// How many requests the servers of one speed began on average.
struct SpeedShare {
    double servers = 0;
    double runs = 0;

    auto mean() const -> double { return servers > 0 ? runs / servers : 0; }
};

/// @param counts number of requests by server.
auto checkSpeedsOf(std::string_view what, std::span<const double> counts, std::size_t first, const FleetSize& size, const FaultFreePeriod& period) -> std::vector<Violation>
{
    /// The speeds differ by a factor of 0.46; equal shares give 1.
    constexpr double maxSlowShare = 0.8;
    constexpr double minRuns = 100;
    SpeedShare slow;
    SpeedShare fast;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        auto& share = isSlowBackend(first + index, firstEngine(size)) ? slow : fast;
        share.servers += 1;
        share.runs += counts[index];
    }
    const auto isCompared = slow.servers > 0 && fast.servers > 0 && slow.runs + fast.runs >= minRuns;
    if (!isCompared || slow.mean() <= maxSlowShare * fast.mean())
        return {};
    return { { "slow servers get less work than fast ones", "", std::string(what) + ": " + std::to_string(slow.mean()) + " requests at a slow server and " + std::to_string(fast.mean()) + " at a fast one", period.from, period.until } };
}

}

auto checkSpeeds(std::span<const BackendRun> runs, const FleetSize& size, const FaultFreePeriod& period) -> std::vector<Violation>
{
    std::vector<double> counts(size.backends);
    for (const auto& run : runs) {
        if (!run.isPrefill && run.backendIndex < counts.size() && run.at >= period.from && run.at <= period.until)
            ++counts[run.backendIndex];
    }
    const auto firstCompared = firstEngine(size) + 2;
    auto violations = checkSpeedsOf("plain servers", std::span(counts).first(firstEngine(size)), 0, size, period);
    const auto engines = checkSpeedsOf("decode engines", std::span(counts).subspan(firstCompared), firstCompared, size, period);
    violations.insert(violations.end(), engines.begin(), engines.end());
    return violations;
}

}
