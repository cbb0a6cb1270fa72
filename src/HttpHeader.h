#pragma once

/// One header field of an HTTP message, and look-up by name without regard to case.

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace jayhold {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// @return the value of the first field with this name, compared without regard to case.
auto findHeader(std::span<const HttpHeader> headers, std::string_view name) -> std::optional<std::string_view>;

/// @return whether two field names are equal without regard to case.
auto equalHeaderNames(std::string_view left, std::string_view right) -> bool;

}
