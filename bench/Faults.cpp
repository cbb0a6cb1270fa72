#include "Faults.h"

#include <functional>
#include <map>
#include <numeric>

namespace jayhold::bench {

namespace {

/// Configures one fault. The function `point` converts a fraction of the run to a point in time.
using Setter = std::function<void(Faults&, const std::function<TimePoint(double)>& point, std::size_t prefillEngines)>;

auto setters() -> const std::map<std::string, Setter>&
{
    static const std::map<std::string, Setter> all {
        { "death", [](Faults& faults, const auto& point, std::size_t prefillEngines) {
             faults.outages = {
                 { prefillEngines, point(0.25), point(0.25) + faults.restartTime },
                 { 0, point(0.4), point(0.4) + faults.restartTime },
                 { prefillEngines + 2, point(0.55), point(0.55) + faults.restartTime },
             };
         } },
        { "cut", [](Faults& faults, const auto& point, std::size_t) { faults.zonePartition = { ZoneId { 1 }, { point(0.65), point(0.75) } }; } },
        { "crash", [](Faults& faults, const auto& point, std::size_t) { faults.crashingCaller = { point(0.15), std::chrono::seconds(4), 15 }; } },
        { "stall", [](Faults& faults, const auto&, std::size_t) { faults.stalledTransferShare = 0.002; } },
        { "cancel", [](Faults& faults, const auto&, std::size_t) { faults.cancelledShare = 0.02; } },
        { "lag", [](Faults& faults, const auto& point, std::size_t) { faults.slowLoadReports = { point(0.3), point(0.5) }; } },
        { "cache", [](Faults& faults, const auto&, std::size_t) {
             faults.lostCacheEventShare = 0.2;
             faults.cacheEventLag = std::chrono::milliseconds(1'000);
         } },
        { "repeat", [](Faults& faults, const auto&, std::size_t) { faults.callerRepeats = 3; } },
    };
    return all;
}

}

auto faultNames() -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(setters().size());
    for (const auto& [name, setter] : setters())
        names.push_back(name);
    return names;
}

auto makeFaults(const Workload& workload, Duration length, const std::vector<std::string>& chosen) -> Faults
{
    const auto prefillEngines = std::accumulate(workload.prefillEngines.begin(), workload.prefillEngines.end(), std::size_t { 0 });
    const auto point = [&](double share) { return TimePoint {} + fromSeconds(toSeconds(length) * share); };
    Faults faults;
    for (const auto& name : chosen)
        setters().at(name)(faults, point, prefillEngines);
    return faults;
}

}
