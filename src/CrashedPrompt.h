#pragma once

/// A request that had got no answer yet from an engine that crashed, or some of the parts of its prompt, as instances report
/// it to each other.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jayhold {

/// Bounds the size of messages. A prompt with more parts is reported in several pieces.
inline constexpr std::size_t maxReportedParts = 32;

struct CrashedPrompt {
    /// Identifies the process of the engine.
    std::uint64_t process = 0;
    /// Distinguishes the request from others with the same parts.
    std::uint64_t signature = 0;
    /// Parts of the prompt that other requests may share, in order and without a gap.
    std::vector<std::uint64_t> parts;
    /// Position in the prompt of the first of these parts.
    std::uint32_t firstPosition = 0;

    auto operator<=>(const CrashedPrompt&) const = default;
};

}
