#include "../EngineModel.h"

#include <catch2/catch.hpp>

using namespace jayhold::test;

// Load pattern: as in SlotMemoryTest, on an engine that holds some 20 answers which are longer than their prompts. Guards
// against preempted answers, whose prompts are read again.
TEST_CASE("a burst of long answers reads few prompts again")
{
    const EngineSize size { 114'005, 5'200, 11'300, 11'180 };
    const auto result = playBursts(size);
    CAPTURE(result.repeatedTokens, result.promptTokens);
    CHECK_FALSE(result.isHalfEmpty);
    CHECK(static_cast<double>(result.repeatedTokens) <= maxRepeatedShare * static_cast<double>(result.promptTokens));
}
