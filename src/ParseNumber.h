#pragma once

/// Parses a text that consists of a single number.

#include <charconv>
#include <optional>
#include <string_view>

namespace jayhold {

/// @return std::nullopt if the text is not a number of this type, or if other characters follow it.
template <typename Number>
auto parseNumber(std::string_view text) -> std::optional<Number>
{
    Number number {};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

}
