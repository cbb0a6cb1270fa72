#pragma once

/// Event: a decode attempt failed.

#include "FailureKind.h"
#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct DecodeFailed {
    RequestId request;
    Attempt attempt;
    FailureKind failure;
    /// Tokens sent to the caller so far, over all attempts; the next attempt resumes there.
    std::uint32_t emittedTokens;
};

}
