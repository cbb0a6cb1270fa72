#pragma once

/// A request that had got no answer yet from an engine that crashed, as instances report it to each other.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jayhold {

/// Bounds the memory of requests and the size of messages. Further parts of a prompt are not compared.
inline constexpr std::size_t maxComparedParts = 32;

struct CrashedPrompt {
    /// Identifies the process of the engine.
    std::uint64_t process = 0;
    /// Distinguishes the request from others with the same parts.
    std::uint64_t signature = 0;
    /// The parts of the prompt that other requests may share, in order.
    std::vector<std::uint64_t> parts;

    auto operator<=>(const CrashedPrompt&) const = default;
};

}
