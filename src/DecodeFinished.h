#pragma once

/// Event: the whole answer has been sent to the caller.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct DecodeFinished {
    RequestId request;
    Attempt attempt;
    /// Tokens of the whole answer.
    std::uint32_t totalTokens;
};

}
