#pragma once

/// Checks of requests that crash backend servers, by a part of their prompt or as plain calls: that few of them reach
/// servers, and that other requests are still served.

#include "SoakChecks.h"

namespace jayhold::soak {

/// @param crashes the crashes that requests caused, ordered by time.
/// @param crashingUntil when callers sent the last request with the part.
/// @return the violations after the fifth crash, or after the last if there are fewer. For the first check, only requests
/// of instances count that were in touch with the store for some time; for the second, only calm times. Crashes do
/// not count that all instances forgot, because they were killed while the disturbed store could not list the part.
auto checkCrashingParts(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const BackendRun> crashes, TimePoint crashingUntil, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>;

/// @param crashes as for checkCrashingParts().
/// @return a violation if the plain call that crashes servers reaches many of them after the third crash. Only calls of
/// instances count that were in touch with the store for some time.
auto checkCrashingCalls(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const BackendRun> crashes, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>;

}
