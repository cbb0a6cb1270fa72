#include "../EngineModel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <span>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// The engine sizes of the known deployments. At the last two, long answers are twice as long as the prompts.
constexpr EngineSize engineSizes[] = {
    { 24'542, 3'200, 6'900, 1'870 },
    { 24'862, 3'200, 6'900, 1'870 },
    { 26'082, 3'200, 6'900, 1'870 },
    { 29'250, 3'200, 6'900, 1'870 },
    { 42'121, 3'200, 6'900, 1'870 },
    { 71'576, 5'200, 11'300, 11'180 },
    { 114'005, 5'200, 11'300, 11'180 },
};

}

// Guards against reserving memory for an answer that has not grown yet: the engine preempts running answers for it.
TEST_CASE("a slot is reserved for what a request takes at its start, where its growth has room")
{
    CHECK(slotMemory(5'000, 1'000, 100'000).reservedTokens == 5'000);
    CHECK(slotMemory(5'000, 1'000, 100'000).freeTokens > 6'000);
    CHECK(slotMemory(5'000, 0, 100'000) == SlotMemory { 5'000, 5'000 });
}

// Guards against a request with a long prompt that waits for an empty engine while shorter ones start.
TEST_CASE("a long prompt starts beside other requests in the engines of all deployments")
{
    for (const auto& size : engineSizes) {
        CAPTURE(size.capacity);
        const auto memory = slotMemory(size.longestPrompt, size.longAnswer, size.capacity);
        CHECK(memory.reservedTokens == size.longestPrompt);
        CHECK(memory.freeTokens + size.meanPrompt + size.longAnswer <= size.capacity);
    }
}

// Guards against a request that never starts because no engine has the free memory that it asks for.
TEST_CASE("an empty engine takes any request that fits")
{
    rc::prop("the memory is within the engine's", [](std::uint32_t start, std::uint32_t growth, std::uint32_t capacity) {
        const auto memory = slotMemory(start, growth, capacity);
        RC_ASSERT(memory.reservedTokens == std::min(start, capacity));
        RC_ASSERT(memory.freeTokens >= memory.reservedTokens);
        RC_ASSERT(memory.freeTokens <= capacity);
        RC_ASSERT(memory.freeTokens - memory.reservedTokens <= (capacity - memory.reservedTokens) / 2);
    });
}

// Load pattern: a burst of several times what an engine holds arrives at once. Guards against preempted answers, whose
// prompts are read again, and against an engine that is left half empty. BurstMemoryTest plays the last size.
TEST_CASE("a burst reads few prompts again")
{
    for (const auto& size : std::span(engineSizes).first(std::size(engineSizes) - 1)) {
        const auto result = playBursts(size);
        CAPTURE(size.capacity, result.repeatedTokens, result.promptTokens);
        CHECK_FALSE(result.isHalfEmpty);
        CHECK(static_cast<double>(result.repeatedTokens) <= maxRepeatedShare * static_cast<double>(result.promptTokens));
    }
}
