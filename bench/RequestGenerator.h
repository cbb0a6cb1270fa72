#pragma once

/// Generates the requests of a run. Arrivals are a Poisson process whose rate rises to a plateau and
/// falls again as over a working day, while the peak of the load moves from the first zone to the last.

#include "CallerRequest.h"
#include "Faults.h"
#include "Workload.h"

#include <cstdint>
#include <vector>

namespace jayhold::bench {

struct RunPlan {
    /// Arrivals per second on the plateau, as a multiple of the capacity.
    double load = 1;
    Duration length = std::chrono::seconds(90);
    std::uint64_t seed = 1;
};

/// @return the arrival rate at this fraction of the day, relative to the plateau, from 0 to 1.
auto relativeArrivalRate(double dayFraction) -> double;

/// @return the requests in order of arrival.
auto generateRequests(const Workload& workload, const Faults& faults, const RunPlan& plan) -> std::vector<CallerRequest>;

}
