#pragma once

/// The path and query of a request target.

#include <cstdint>
#include <string>
#include <string_view>

namespace jayhold {

/// @return the target without its query.
inline auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

/// @return the value of a numeric query parameter, or the fallback if it is absent or not a number.
auto queryNumber(std::string_view target, std::string_view key, std::int64_t fallback) -> std::int64_t;

}
