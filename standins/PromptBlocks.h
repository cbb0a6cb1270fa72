#pragma once

/// Counts prompt tokens as the stand-in engines do, and computes the chained hashes that identify
/// prefix blocks.

#include <cstdint>
#include <string_view>
#include <vector>

namespace jayhold {

/// Tokens in one block of the prefix cache.
inline constexpr std::int64_t prefixBlockTokens = 256;

inline constexpr std::uint64_t fnvOffsetBasis = 0xcbf29ce484222325ULL;

/// @return the 64-bit FNV-1a hash of a text, continued from a seed.
auto hashText(std::string_view text, std::uint64_t seed = fnvOffsetBasis) -> std::uint64_t;

/// @return the number of whitespace-separated words in the prompt.
auto countTokens(std::string_view prompt) -> std::int64_t;

/// @return one hash for each whole block, first block first. The FNV-1a hash runs over every word
/// followed by one space, from the start of the prompt, and a block's hash is its state after the
/// block's last word; equal hashes therefore mean equal prefixes.
auto prefixBlockHashes(std::string_view prompt, std::int64_t blockTokens = prefixBlockTokens) -> std::vector<std::uint64_t>;

}
