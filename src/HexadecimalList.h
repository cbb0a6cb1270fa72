#pragma once

/// Formats the identifiers of prompt parts for logs.

#include <cstdint>
#include <span>
#include <string>

namespace jayhold {

/// @return the numbers in hexadecimal, separated by commas.
auto hexadecimalList(std::span<const std::uint64_t> numbers) -> std::string;

}
