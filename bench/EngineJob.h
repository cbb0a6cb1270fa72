#pragma once

/// One attempt of a request as a fake engine sees it.

#include "Identifiers.h"

#include <cstdint>
#include <span>

namespace jayhold::bench {

struct EngineJob {
    RequestId request {};
    Attempt attempt = 0;
    /// The entry instance that sent the job.
    std::size_t instance = 0;
    /// Lower values are more urgent.
    int priority = 0;
    /// Prompt tokens. When a stream resumes, this includes the tokens that the caller has already
    /// received.
    std::uint32_t promptTokens = 0;
    /// Tokens remaining to be generated; unused for a prefill.
    std::uint32_t outputTokens = 0;
    /// The engine process crashes when it decodes this request.
    bool crashes = false;
    /// Refers to the workload, which outlives the engines.
    std::span<const std::uint64_t> prefixBlocks;
};

}
