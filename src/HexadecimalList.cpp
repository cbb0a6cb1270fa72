#include "HexadecimalList.h"

#include <charconv>
#include <iterator>
#include <string_view>

namespace jayhold {

auto hexadecimalList(std::span<const std::uint64_t> numbers) -> std::string
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t maxDigits = 16;
    std::string text;
    for (const auto number : numbers) {
        char digits[maxDigits];
        const auto* end = std::to_chars(std::begin(digits), std::end(digits), number, hexadecimal).ptr;
        text += text.empty() ? "" : ",";
        text += std::string_view(std::begin(digits), static_cast<std::size_t>(end - std::begin(digits)));
    }
    return text;
}

}
