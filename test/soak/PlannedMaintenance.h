#pragma once

/// Maintenance of a fleet without faults: the store is restored from a copy, the configuration changes while the
/// backend servers pause, one of them leaves, and all entry instances are restarted.

#include "SoakChecks.h"
#include "SoakFleet.h"

#include <vector>

namespace jayhold::soak {

/// Time within which all entry instances must be ready again.
inline constexpr Duration recoveryTime = std::chrono::seconds(8);

struct MaintenanceRecord {
    FaultFreePeriod faultFreePeriod;
    std::vector<PausePeriod> pauses;
    /// Time in which requests may be sent that the low values of a configuration concern.
    PausePeriod lowValues;
    /// Since when the first backend server is leaving.
    TimePoint leavingSince {};
    std::vector<Violation> violations;
};

/// @param seed determines the number of configuration changes and the times around the restore.
auto performPlannedMaintenance(SoakFleet& fleet, const FleetSize& size, std::uint64_t seed) -> MaintenanceRecord;

}
