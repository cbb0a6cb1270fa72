#include "SpeedChecks.h"

namespace jayhold::soak {

namespace {

/// How many requests the servers of one speed began on average.
struct SpeedShare {
    double servers = 0;
    double runs = 0;

    auto mean() const -> double { return servers > 0 ? runs / servers : 0; }
};

}

auto checkSpeeds(std::span<const BackendRun> runs, const FleetSize& size, const FaultFreePeriod& period) -> std::vector<Violation>
{
    // Trials gave 0.09 and 0.23, and 0.72 and 0.80 with instances that take all servers for equally fast.
    constexpr double maxSlowShare = 0.5;
    constexpr double minRuns = 100;
    SpeedShare slow;
    SpeedShare fast;
    const auto shareOf = [&](std::size_t server) -> SpeedShare& { return isSlowBackend(server, firstEngine(size)) ? slow : fast; };
    for (std::size_t server = 0; server < firstEngine(size); ++server)
        ++shareOf(server).servers;
    for (const auto& run : runs) {
        if (run.backendIndex < firstEngine(size) && run.at >= period.from && run.at <= period.until)
            ++shareOf(run.backendIndex).runs;
    }
    const auto isCompared = slow.servers > 0 && fast.servers > 0 && slow.runs + fast.runs >= minRuns;
    if (!isCompared || slow.mean() <= maxSlowShare * fast.mean())
        return {};
    return { { "a slow plain server gets less work than fast ones", "", std::to_string(slow.mean()) + " requests at a slow server and " + std::to_string(fast.mean()) + " at a fast one", period.from, period.until } };
}

}
