#pragma once

/// A cooperative's load and the engines that serve it.

#include "EngineParameters.h"
#include "WorkloadKind.h"

#include <string>
#include <vector>

namespace jayhold::bench {

struct Workload {
    std::string name;
    EngineParameters engines;
    /// Engines and entry instances by zone.
    std::vector<std::uint32_t> prefillEngines;
    std::vector<std::uint32_t> decodeEngines;
    std::vector<std::uint32_t> entryInstances;
    /// One way between a client and its entry instance.
    Duration clientLatency {};
    double wastedPrefillWeight = 0.5;
    std::vector<double> customerWeights;
    std::vector<WorkloadKind> kinds;
};

/// About 9 replicas of appraiser-llm; decode seats limit it.
auto caprock() -> Workload;

/// About 14 replicas of diag-llm; long fault logs load the prefill engines as well.
auto babAmen() -> Workload;

/// Caprock with appraisals at several times their usual rate, so that they fill every queue.
auto caprockAppraisalFlood() -> Workload;

/// Changes the mix and the sizes, for loads that nothing was tuned on.
auto withOtherMix(Workload workload) -> Workload;

/// @return arrivals per second at which the scarcest resource (decode tokens, prefill tokens without
/// cache hits, or memory pieces) is fully used.
auto capacity(const Workload& workload) -> double;

}
