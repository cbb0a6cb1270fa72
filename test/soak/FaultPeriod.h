#pragma once

/// The time at which a fault was active, and what it concerned.

#include "FaultPlan.h"

#include <optional>

namespace jayhold::soak {

struct FaultPeriod {
    PlannedFault fault;
    TimePoint from {};
    TimePoint until = TimePoint::max();
    /// Whether the store listed the part that crashes engines as blocked at the end of a kill of all instances.
    bool isPartListed = false;
    /// The same for the plain call that crashes servers.
    bool isCallListed = false;
    /// When the end of the fault killed its backend server; its replacement is ready at `until`.
    std::optional<TimePoint> killedAt {};
};

/// Time before and after a fault in which its effect on connections may be seen.
inline constexpr Duration faultTolerance = std::chrono::milliseconds(200);

/// @return whether the fault was active, or its effect may have been seen, between two times.
auto isActive(const FaultPeriod& fault, TimePoint from, TimePoint until) -> bool;

/// @return whether the fault concerns the process of an entry instance.
auto concernsEntry(const PlannedFault& fault, std::size_t entry) -> bool;

/// @return whether the fault concerns the process of a backend server or the connections to it.
auto concernsBackend(const PlannedFault& fault, std::size_t backend) -> bool;

/// @return whether the fault closes connections to the backend server between two times.
auto breaksConnections(const FaultPeriod& fault, std::size_t backend, TimePoint from, TimePoint until) -> bool;

/// @return whether the fault concerns the store itself.
auto isStoreFault(FaultKind kind) -> bool;

/// @return whether the fault concerns the store, the connection of the entry instance to it, or its process.
auto concernsStoreOrEntry(const PlannedFault& fault, std::size_t entry, const FleetSize& size) -> bool;

/// @return whether the fault concerns the store, the connection of an entry instance to it, or the process of an
/// entry instance.
auto concernsStoreOrEntries(const PlannedFault& fault, const FleetSize& size) -> bool;

}
