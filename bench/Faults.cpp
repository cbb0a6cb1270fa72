#include "Faults.h"

namespace jayhold::bench {

namespace {

/// @return the point after this share of the run.
auto point(Duration length, double share) -> TimePoint
{
    return TimePoint {} + fromSeconds(toSeconds(length) * share);
}

}

auto allFaults(const Workload& workload, Duration length) -> Faults
{
    std::size_t prefillEngines = 0;
    for (const auto engines : workload.prefillEngines)
        prefillEngines += engines;
    Faults faults;
    faults.deaths = {
        { prefillEngines, point(length, 0.25), point(length, 0.25) + faults.restartTime },
        { 0, point(length, 0.4), point(length, 0.4) + faults.restartTime },
        { prefillEngines + 2, point(length, 0.55), point(length, 0.55) + faults.restartTime },
    };
    faults.zoneCut = { ZoneId { 1 }, { point(length, 0.65), point(length, 0.75) } };
    faults.crashingCaller = { point(length, 0.15), std::chrono::seconds(4), 15 };
    faults.stalledTransferShare = 0.002;
    faults.cancelledShare = 0.02;
    faults.lostCacheEventShare = 0.2;
    faults.cacheEventLag = std::chrono::milliseconds(1'000);
    faults.slowLoadReports = { point(length, 0.3), point(length, 0.5) };
    faults.callerRepeats = 3;
    return faults;
}

}
