#pragma once

/// Reads a number that takes up a whole text.

#include <charconv>
#include <optional>
#include <string_view>

namespace jayhold {

/// @return nothing where the text is not a number of this type, or has something after it.
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
