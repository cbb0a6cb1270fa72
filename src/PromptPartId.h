#pragma once

/// Identifiers of parts of prompts, as callers and operators name them.

#include "Hexadecimal.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace jayhold {

/// @param text hexadecimal digits. Ids of more than 64 bits, and other texts, are hashed, to the same value at all instances.
inline auto promptPartId(std::string_view text) -> std::uint64_t
{
    return parseHexadecimal(text).value_or(std::hash<std::string_view> {}(text));
}

}
