#include "ExpectedTokens.h"

#include "PromptBlocks.h"

#include <algorithm>
#include <charconv>

namespace jayhold {

namespace {

/// Maximum completion length, in tokens, for a prompt that does not specify one.
constexpr std::uint64_t maxDefaultOutputTokens = 256;
constexpr std::string_view outputMarker = "output=";

auto outputLength(std::string_view prompt) -> std::int64_t
{
    const auto marker = prompt.find(outputMarker);
    std::int64_t length = 0;
    if (marker != std::string_view::npos) {
        const auto digits = prompt.substr(marker + outputMarker.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
    }
    if (length > 0)
        return length;
    return static_cast<std::int64_t>(1 + hashText(prompt) % maxDefaultOutputTokens);
}

/// Spreads consecutive inputs over the whole range (the finaliser of SplitMix64).
auto splitMix64(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

auto tokenWord(std::uint64_t seed, std::int64_t index) -> std::string
{
    constexpr std::uint64_t letters = 26;
    auto value = splitMix64(seed + static_cast<std::uint64_t>(index));
    std::string word;
    for (auto length = 3 + value % 5; length > 0; --length) {
        value /= letters;
        word += static_cast<char>('a' + value % letters);
    }
    return word;
}

}

auto expectedTokens(std::string_view model, std::string_view prompt, std::int64_t maxTokens) -> std::vector<std::string>
{
    const auto length = std::clamp<std::int64_t>(outputLength(prompt), 1, std::max<std::int64_t>(maxTokens, 1));
    const auto seed = hashText(prompt, hashText(model));
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<std::size_t>(length));
    for (std::int64_t index = 0; index < length; ++index)
        tokens.push_back((index > 0 ? " " : "") + tokenWord(seed, index));
    return tokens;
}

auto expectedText(std::string_view model, std::string_view prompt, std::int64_t maxTokens) -> std::string
{
    std::string text;
    for (const auto& token : expectedTokens(model, prompt, maxTokens))
        text += token;
    return text;
}

}
