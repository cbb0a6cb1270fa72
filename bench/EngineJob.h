#pragma once

/// One attempt of a request as a fake engine sees it.

#include "Identifiers.h"

#include <cstdint>
#include <span>

namespace jayhold::bench {

struct EngineJob {
    RequestId request {};
    Attempt attempt = 0;
    /// The entry instance that sent it.
    std::size_t instance = 0;
    /// Smaller is more urgent.
    int priority = 0;
    /// Prompt tokens, with those already sent to the caller when a stream resumes.
    std::uint32_t promptTokens = 0;
    /// Tokens that are left to generate; unused in a prefill.
    std::uint32_t outputTokens = 0;
    /// The engine process dies when it decodes this request.
    bool crashes = false;
    /// Refers to the workload, which outlives the engines.
    std::span<const std::uint64_t> prefixBlocks;
};

}
