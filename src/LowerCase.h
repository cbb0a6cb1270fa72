#pragma once

/// Converts ASCII letters to lower case, independently of the locale.

#include <algorithm>
#include <string>
#include <string_view>

namespace jayhold {

inline auto lowerCase(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

inline auto lowerCase(std::string_view text) -> std::string
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char letter) { return lowerCase(letter); });
    return lower;
}

}
