#include "PromptDigest.h"

#include <string>

namespace jayhold {

namespace {

constexpr std::uint64_t hashSeed = 0xcbf29ce484222325ULL;
constexpr std::uint64_t hashPrime = 0x100000001b3ULL;

/// One step of 64-bit FNV-1a, the hash by which the engines identify the blocks of their prefix caches.
auto hashByte(std::uint64_t hash, char character) -> std::uint64_t
{
    return (hash ^ static_cast<unsigned char>(character)) * hashPrime;
}

auto isSpace(char character) -> bool
{
    return character == ' ' || (character >= '\t' && character <= '\r');
}

}

auto digestPrompt(std::string_view model, std::string_view prompt, std::uint32_t blockTokens) -> PromptDigest
{
    PromptDigest digest;
    digest.signature = hashSeed;
    for (const auto character : model)
        digest.signature = hashByte(digest.signature, character);
    // A block's hash covers all words from the start of the prompt, each followed by one space.
    auto blockHash = hashSeed;
    auto isInWord = false;
    const auto endWord = [&] {
        isInWord = false;
        blockHash = hashByte(blockHash, ' ');
        if (++digest.tokens % blockTokens == 0)
            digest.prefixBlocks.push_back(blockHash);
    };
    for (const auto character : prompt) {
        digest.signature = hashByte(digest.signature, character);
        if (!isSpace(character)) {
            isInWord = true;
            blockHash = hashByte(blockHash, character);
        } else if (isInWord) {
            endWord();
        }
    }
    if (isInWord)
        endWord();
    return digest;
}

}
