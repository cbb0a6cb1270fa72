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
    /// Names of the faults of the run; none by default.
    std::vector<std::string> faults;
    RunPlan plan;
    Arm arm;
    Sharing sharing = Sharing::Independent;
    /// Replaces the workload's weight, from 0 to 1.
    std::optional<double> wastedPrefillWeight;
};

struct CellResult {
    Metrics metrics;
    /// Requests that a clairvoyant scheduler can serve well at most.
    double bound = 0;
    double capacity = 0;
};

auto runCell(const Cell& cell) -> CellResult;

}
