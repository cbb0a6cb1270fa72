#pragma once

/// One request kind of a workload: its targets, its share of the arrivals and the sizes of its prompts
/// and responses. Sizes have a log-normal distribution, which has the long tails observed in practice.

#include "Identifiers.h"
#include "RequestKind.h"

#include <cstdint>

namespace jayhold::bench {

struct WorkloadKind {
    RequestKind kind;
    double share = 0;
    CustomerId customer {};
    double promptMedian = 0;
    double promptSigma = 0.5;
    std::uint32_t maxPromptTokens = 32'768;
    double outputMedian = 0;
    double outputSigma = 0.5;
    std::uint32_t maxOutputTokens = 4'096;
    /// Number of templates with which prompts begin. Templates with a lower index are used more often.
    std::uint32_t templates = 1;
    std::uint32_t templateTokens = 0;
};

}
