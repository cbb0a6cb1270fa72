#include "Hexadecimal.h"

#include <charconv>
#include <iterator>

namespace jayhold {

namespace {

constexpr int base = 16;
constexpr std::size_t maxDigits = 16;

}

auto toHexadecimal(std::uint64_t number) -> std::string
{
    char digits[maxDigits];
    const auto* end = std::to_chars(std::begin(digits), std::end(digits), number, base).ptr;
    return { std::begin(digits), static_cast<std::size_t>(end - std::begin(digits)) };
}

auto toHexadecimal(std::span<const std::uint64_t> numbers) -> std::string
{
    std::string text;
    for (const auto number : numbers)
        text += (text.empty() ? "" : ",") + toHexadecimal(number);
    return text;
}

auto parseHexadecimal(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto* textEnd = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), textEnd, number, base);
    return code == std::errc {} && end == textEnd ? std::optional(number) : std::nullopt;
}

}
