#pragma once

/// Event: more tokens have been sent to the caller. Reported in batches to limit the number of
/// decisions.

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
