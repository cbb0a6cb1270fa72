#pragma once

/// The memory for which a decode engine is asked when it reserves a slot.
///
/// Load pattern: a burst fills the decode engines with answers that start nearly together and therefore grow
/// together. No answer ends before each has grown by thousands of tokens, and an engine without free memory
/// preempts its newest stream, whose prompt is prefilled again.

#include <cstdint>

namespace jayhold {

struct SlotMemory {
    /// Tokens that are reserved: what the request takes when it starts. An engine preempts running answers to
    /// keep reserved memory free, so nothing is reserved for the growth of the new answer.
    std::uint32_t reservedTokens = 0;
    /// Tokens that must be free on the engine, the reserved ones included. The rest is left to the answers
    /// that run there.
    std::uint32_t freeTokens = 0;

    auto operator==(const SlotMemory&) const -> bool = default;
};

/// @param startTokens tokens that the request takes when it starts: its prompt and what it has generated before.
/// @param growthTokens tokens that few answers of its kind exceed, from the start on.
/// @param capacity tokens that fit into the engine's memory.
/// @return the memory to ask for. Both values are at most the capacity, so that an empty engine takes any request
/// that fits.
auto slotMemory(std::uint64_t startTokens, std::uint64_t growthTokens, std::uint64_t capacity) -> SlotMemory;

}
