#pragma once

/// Token usage of a completion, as reported to the caller.

#include <cstdint>

namespace jayhold {

struct CompletionUsage {
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;
};

}
