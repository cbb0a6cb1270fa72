#pragma once

/// One header field of an HTTP message, and case-insensitive lookup by name.

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace jayhold {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// @return the value of the first field with this name, ignoring case.
auto findHeader(std::span<const HttpHeader> headers, std::string_view name) -> std::optional<std::string_view>;

/// @return whether two field names are equal, ignoring case.
auto equalHeaderNames(std::string_view left, std::string_view right) -> bool;

}
