#include "../EngineModel.h"

#include <catch2/catch.hpp>

using namespace jayhold::test;

// Load pattern: as in SlotMemoryTest, on engines that hold some 20 answers and more which are longer than their prompts.
// Guards against preempted answers, whose prompts are read again, because the answers that start together grow by more than
// a fixed number of long answers.
TEST_CASE("a burst of long answers reads few prompts again")
{
    const auto capacity = GENERATE(114'005U, 160'000U, 228'000U);
    const EngineSize size { capacity, 5'200, 11'300, 11'180 };
    const auto result = playBursts(size);
    CAPTURE(capacity, result.repeatedTokens, result.promptTokens);
    CHECK_FALSE(result.isHalfEmpty);
    CHECK(static_cast<double>(result.repeatedTokens) <= maxRepeatedShare * static_cast<double>(result.promptTokens));
}
