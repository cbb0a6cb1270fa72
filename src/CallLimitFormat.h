#pragma once

/// Parses the limit that a backend server names in a header field of its responses.

#include <optional>
#include <string_view>

namespace jayhold {

/// @param text value of the field, if it is present.
/// @return the calls a second that the server takes, or nothing if it names no valid limit.
auto parseCallLimit(std::optional<std::string_view> text) -> std::optional<double>;

}
