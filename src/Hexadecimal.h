#pragma once

/// Converts the identifiers of prompt parts to and from hexadecimal text, as logs and stored lists show them.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace jayhold {

auto toHexadecimal(std::uint64_t number) -> std::string;

/// @return the numbers in hexadecimal, separated by commas.
auto toHexadecimal(std::span<const std::uint64_t> numbers) -> std::string;

/// @return std::nullopt if the text is not a hexadecimal number of at most 64 bits.
auto parseHexadecimal(std::string_view text) -> std::optional<std::uint64_t>;

}
