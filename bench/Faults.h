#pragma once

/// The faults of one run, drawn before it. The defaults are those that are always present: load
/// reports and cache events are late, and a few cache events are lost.

#include "EventQueue.h"
#include "Workload.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayhold::bench {

struct Faults {
    struct EngineOutage {
        /// Index over all engines, the prefill engines first.
        std::size_t engine;
        TimePoint at;
        TimePoint until;
    };
    struct Interval {
        TimePoint from;
        TimePoint until;
        auto contains(TimePoint time) const -> bool { return time >= from && time < until; }
    };
    struct ZonePartition {
        ZoneId zone;
        Interval interval;
    };
    struct CrashingCaller {
        TimePoint first;
        Duration interval;
        std::uint32_t times;
    };

    std::vector<EngineOutage> outages;
    std::optional<ZonePartition> zonePartition;
    std::optional<CrashingCaller> crashingCaller;
    double stalledTransferShare = 0;
    double cancelledShare = 0;
    /// Share of the cache event batches that are lost.
    double lostCacheEventShare = 0.01;
    Duration cacheEventLag = std::chrono::milliseconds(300);
    Duration loadReportLag = std::chrono::milliseconds(200);
    /// Load reports lag by slowLoadReportLag in this time.
    Interval slowLoadReports {};
    Duration slowLoadReportLag = std::chrono::milliseconds(1'500);
    /// Callers that are refused come back after the given delay, so many times at most.
    std::uint32_t callerRepeats = 0;
    /// How long a dead engine takes to restart, for deaths that a request causes.
    Duration restartTime = std::chrono::seconds(8);
};

/// @return the names of the faults that can be chosen singly.
auto faultNames() -> std::vector<std::string>;

/// @param length of the run; the faults are spread over it.
/// @param chosen names of the faults; the others stay at their defaults.
auto makeFaults(const Workload& workload, Duration length, const std::vector<std::string>& chosen) -> Faults;

}
