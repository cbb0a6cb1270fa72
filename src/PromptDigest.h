#pragma once

/// What the decision code needs to know of a prompt: its estimated length, the hashes of its
/// prefix blocks, by which engines report what they have cached, and a signature by which a
/// request that crashes backend servers is recognised when it is sent again.

#include <cstdint>
#include <string_view>
#include <vector>

namespace jayhold {

struct PromptDigest {
    /// Words of the prompt, which stand for tokens until an engine reports their real number.
    std::uint32_t tokens = 0;
    /// Chained hashes of the whole blocks, first block first.
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t signature = 0;
};

/// @param blockTokens tokens in one block of the prefix cache.
auto digestPrompt(std::string_view model, std::string_view prompt, std::uint32_t blockTokens) -> PromptDigest;

}
