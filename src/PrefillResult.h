#pragma once

/// A prefill engine's report of a completed prefill.

#include "Time.h"

#include <cstdint>
#include <string>

namespace jayhold {

struct PrefillResult {
    /// Identifies the KV cache at the engine.
    std::string handle;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint64_t kvBytes = 0;
    /// How long the engine keeps the KV cache.
    Duration ttl {};
};

}
