#pragma once

/// Log lines about the callers, backend servers and faults of a run, for the traces of its failures.

#include "SoakCallers.h"
#include "SoakFleet.h"

namespace jayhold::soak {

/// @param runs the runs, rejections and crashes of the backend servers.
/// @return lines of the form of the instances' lines, with the times of the events on the system clock.
auto describeRun(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults) -> std::vector<std::string>;

}
