#pragma once

/// The properties of a prompt that the decision code uses: its estimated length, the hashes of its prefix
/// blocks, which engines also use to report their cache contents, and a signature that identifies a
/// request that crashes backend servers when it is sent again.

#include <cstdint>
#include <string_view>
#include <vector>

namespace jayhold {

struct PromptDigest {
    /// Number of words, which serves as the number of tokens until an engine reports the actual one.
    std::uint32_t tokens = 0;
    /// Chained hashes of the complete blocks, in order.
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t signature = 0;
};

/// @param blockTokens tokens in one block of the prefix cache.
auto digestPrompt(std::string_view model, std::string_view prompt, std::uint32_t blockTokens) -> PromptDigest;

}
