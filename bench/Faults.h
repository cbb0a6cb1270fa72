#pragma once

/// The faults of one run, determined before it starts. The defaults apply to every run: load reports and
/// cache events are delayed, and a few cache events are lost.

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
    /// Fraction of the cache event batches that is lost.
    double lostCacheEventShare = 0.01;
    Duration cacheEventLag = std::chrono::milliseconds(300);
    Duration loadReportLag = std::chrono::milliseconds(200);
    /// Load reports are delayed by slowLoadReportLag in this interval.
    Interval slowLoadReports {};
    Duration slowLoadReportLag = std::chrono::milliseconds(1'500);
    /// Maximum number of times that a caller repeats a refused request, each after the indicated delay.
    std::uint32_t callerRepeats = 0;
    /// Time until a crashed engine has restarted.
    Duration restartTime = std::chrono::seconds(8);
};

/// @return the names of all faults.
auto faultNames() -> std::vector<std::string>;

/// @param length duration of the run; the faults occur at fixed fractions of it.
/// @param chosen names of the faults to inject. The other faults keep their defaults.
auto makeFaults(const Workload& workload, Duration length, const std::vector<std::string>& chosen) -> Faults;

}
