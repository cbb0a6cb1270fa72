#pragma once

/// SHA-256 digests, used for the keys of callers and operators and for request digests.

#include <string>
#include <string_view>

namespace jayhold {

/// @return the digest as 64 lower-case hexadecimal digits.
auto sha256Hex(std::string_view text) -> std::string;

/// Compares two digests in constant time, so that the duration does not reveal where they differ.
auto equalDigests(std::string_view left, std::string_view right) -> bool;

}
