#pragma once

/// The load of one cooperative and the engines that serve it.

#include "EngineParameters.h"
#include "WorkloadKind.h"

#include <string>
#include <vector>

namespace jayhold::bench {

struct Workload {
    std::string name;
    EngineParameters engines;
    /// Number of engines and entry instances by zone.
    std::vector<std::uint32_t> prefillEngines;
    std::vector<std::uint32_t> decodeEngines;
    std::vector<std::uint32_t> entryInstances;
    /// One-way latency between a client and its entry instance.
    Duration clientLatency {};
    double wastedPrefillWeight = 0.5;
    std::vector<double> customerWeights;
    std::vector<WorkloadKind> kinds;
};

/// Workload on 9 replicas of appraiser-llm, which is limited by decode slots.
auto caprock() -> Workload;

/// Workload on 14 replicas of diag-llm. Long fault logs in the prompts load the prefill engines as well.
auto babAmen() -> Workload;

/// The caprock workload with a multiple of the usual rate of appraisals, which fill every queue.
auto caprockAppraisalFlood() -> Workload;

/// Changes the request mix and the sizes, for a check on a load on which no setting was tuned.
auto withOtherMix(Workload workload) -> Workload;

/// @return the arrivals per second at which the scarcest resource (decode tokens, prefill tokens without
/// cache hits, or memory blocks) is fully used.
auto capacity(const Workload& workload) -> double;

}
