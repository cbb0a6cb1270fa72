#pragma once

/// The promises of the platform's form, checked from what callers and backend servers saw.

#include "SoakCallers.h"
#include "SoakFleet.h"

#include <span>
#include <string>
#include <vector>

namespace jayhold::soak {

struct Violation {
    std::string guarantee;
    /// The request concerned; empty where it is none in particular.
    std::string request;
    std::string detail;
};

/// Time without faults in which entry instances were replaced one after the other.
struct FaultFreePeriod {
    TimePoint from {};
    TimePoint until {};
};

/// @param calm in it, no request that a backend server ran may end without a whole answer.
/// @return all promises broken by single requests, and by the number of retries.
auto checkCalls(std::span<const CallRecord> calls, std::span<const BackendRun> runs, const FaultFreePeriod& faultFree) -> std::vector<Violation>;

/// @return the promise broken where a backend server got work although it was leaving.
auto checkLeaving(std::span<const BackendRun> runs, const std::string& backend, TimePoint allowedUntil, TimePoint until) -> std::vector<Violation>;

}
