#pragma once

/// Event: the current attempt, which has replaced a silent one, has failed before it brought a token, and the driver
/// still has the silent attempt as its fallback. A failure without a fallback is PrefillFailed or DecodeFailed.

#include "FailureKind.h"
#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct ReplacementFailed {
    RequestId request;
    Attempt attempt;
    FailureKind failure;
    /// Tokens sent to the caller so far, over all attempts.
    std::uint32_t emittedTokens = 0;
};

}
