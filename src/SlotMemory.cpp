#include "SlotMemory.h"

#include <algorithm>
#include <limits>

namespace jayhold {

namespace {

/// Least room for growth, in long answers: while the slot is reserved and until the next answer ends, all answers on the
/// engine together grow by a few times the length of one.
constexpr double minGrowthAnswers = 3;
/// Part of the answers on an engine that grow by a long answer before others have ended, if the answers are long beside
/// their prompts. The end of an answer frees its prompt as well, so the others need less room if the prompts are long.
constexpr double growingShare = 0.8;
/// The room for growth is at most this part of the memory beside the request. Otherwise a request with a long prompt
/// would wait for an empty engine.
constexpr std::uint64_t maxGrowthDivisor = 2;

auto toTokenCount(std::uint64_t tokens) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

/// @return the room for the growth of the answers that run together, if all are like the given one.
auto growthRoom(std::uint64_t startTokens, std::uint64_t growthTokens, std::uint64_t capacity) -> double
{
    if (growthTokens == 0)
        return 0;
    const auto start = static_cast<double>(startTokens);
    const auto growth = static_cast<double>(growthTokens);
    // On average, the answers have half of their length.
    const auto answers = static_cast<double>(capacity) / (start + growth / 2);
    const auto growing = growingShare * answers * growth / (start + growth);
    return growth * std::max(growing, minGrowthAnswers);
}

}

auto slotMemory(std::uint64_t startTokens, std::uint64_t growthTokens, std::uint64_t capacity) -> SlotMemory
{
    const auto reserved = std::min(startTokens, capacity);
    const auto maxGrowth = (capacity - reserved) / maxGrowthDivisor;
    const auto room = growthRoom(startTokens, growthTokens, capacity);
    const auto growth = room < static_cast<double>(maxGrowth) ? static_cast<std::uint64_t>(room) : maxGrowth;
    return { .reservedTokens = toTokenCount(reserved), .freeTokens = toTokenCount(reserved + growth) };
}

}
