#pragma once

/// Event: the caller has been sent more tokens. Reported in batches, to keep decisions few.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct TokensEmitted {
    RequestId request;
    Attempt attempt;
    /// Tokens sent to the caller so far, over all attempts.
    std::uint32_t total;
};

}
