#pragma once

/// Event: a prefill engine has finished and keeps the result until it expires.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>

namespace jayhold {

struct PrefillDone {
    RequestId request;
    Attempt attempt;
    /// When the prefill engine drops the result.
    TimePoint expiresAt;
    /// Prompt tokens that the engine took from its prefix cache.
    std::uint32_t cachedTokens;
};

}
