#pragma once

/// Event: the engine of an attempt has sent nothing for longer than the timeout of its phase. The engine may
/// still answer, so the attempt goes on unless another one can start at once.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct AttemptSilent {
    RequestId request;
    Attempt attempt;
    /// Tokens sent to the caller so far, over all attempts.
    std::uint32_t emittedTokens = 0;
};

}
