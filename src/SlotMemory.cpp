#include "SlotMemory.h"

#include <algorithm>
#include <limits>

namespace jayhold {

namespace {

/// Room for growth, in long answers: while the slot is reserved and until the next answer ends, all answers on the engine
/// together grow by a few times the length of one.
constexpr std::uint64_t growthAnswers = 3;
/// The room for growth is at most this part of the memory beside the request. Otherwise a request with a long prompt
/// would wait for an empty engine.
constexpr std::uint64_t maxGrowthDivisor = 2;

auto toTokenCount(std::uint64_t tokens) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

}

auto slotMemory(std::uint64_t startTokens, std::uint64_t growthTokens, std::uint64_t capacity) -> SlotMemory
{
    const auto reserved = std::min(startTokens, capacity);
    const auto growth = std::min(growthTokens * growthAnswers, (capacity - reserved) / maxGrowthDivisor);
    return { .reservedTokens = toTokenCount(reserved), .freeTokens = toTokenCount(reserved + growth) };
}

}
