#pragma once

/// One cell of the matrix: a workload at one load, with or without faults, routed by one arm.

#include "Arm.h"
#include "Faults.h"
#include "Metrics.h"
#include "RequestGenerator.h"
#include "Sharing.h"
#include "Workload.h"

namespace jayhold::bench {

struct Cell {
    Workload workload;
    /// Names of the injected faults; none by default.
    std::vector<std::string> faults;
    RunPlan plan;
    Arm arm;
    Sharing sharing = Sharing::Independent;
    /// Overrides the workload's weight of wasted prefill, from 0 to 1.
    std::optional<double> wastedPrefillWeight;
};

struct CellResult {
    Metrics metrics;
    /// Upper bound of the requests for which a clairvoyant scheduler can meet both targets.
    double bound = 0;
    double capacity = 0;
};

auto runCell(const Cell& cell) -> CellResult;

}
