#pragma once

/// Draws the requests of a run: Poisson arrivals whose rate rises to a plateau and falls again like
/// a working day, while the share of the zones moves from the first to the last.

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

/// @return the share of the plateau's rate at this point of the day, from 0 to 1.
auto relativeArrivalRate(double dayFraction) -> double;

/// @return the requests in order of arrival.
auto generateRequests(const Workload& workload, const Faults& faults, const RunPlan& plan) -> std::vector<CallerRequest>;

}
