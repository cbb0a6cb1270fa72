#pragma once

/// Event: the fallback has completed the response before the attempt that replaced it brought a token.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct FallbackFinished {
    RequestId request;
    /// Tokens of the complete response.
    std::uint32_t totalTokens;
};

}
