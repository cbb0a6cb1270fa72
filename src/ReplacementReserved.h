#pragma once

/// Event: the decode engine has reserved a slot for the replacement of a silent attempt. The driver holds the slot
/// until a start names its number, or ReleaseReplacement, or the end of the request.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct ReplacementReserved {
    RequestId request;
    ReplacementNumber number;
    /// Tokens sent to the caller so far, over all attempts. They show whether the silent engine has gone on.
    std::uint32_t emittedTokens = 0;
};

}
