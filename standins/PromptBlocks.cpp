#include "PromptBlocks.h"

namespace jayhold {

namespace {

constexpr std::string_view whitespace = " \t\r\n\v\f";

/// Removes the next word from the front of the text.
/// @return the word, or an empty view at the end of the text.
auto nextWord(std::string_view& text) -> std::string_view
{
    const auto start = text.find_first_not_of(whitespace);
    if (start == std::string_view::npos)
        return {};
    text.remove_prefix(start);
    const auto word = text.substr(0, text.find_first_of(whitespace));
    text.remove_prefix(word.size());
    return word;
}

}

auto hashText(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    for (const auto character : text)
        seed = (seed ^ static_cast<unsigned char>(character)) * prime;
    return seed;
}

auto countTokens(std::string_view prompt) -> std::int64_t
{
    std::int64_t count = 0;
    while (!nextWord(prompt).empty())
        ++count;
    return count;
}

auto prefixBlockHashes(std::string_view prompt, std::int64_t blockTokens) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> blocks;
    auto hash = fnvOffsetBasis;
    std::int64_t count = 0;
    for (auto word = nextWord(prompt); !word.empty(); word = nextWord(prompt)) {
        hash = hashText(" ", hashText(word, hash));
        if (++count % blockTokens == 0)
            blocks.push_back(hash);
    }
    return blocks;
}

}
