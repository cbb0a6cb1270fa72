#include "CrashFleet.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// The most requests with a crashing part that may reach engines after the bound.
constexpr std::size_t maxCallsAfterBound = 3;

}

// Guards against requests that crash one engine after another because each of them differs from the others
// in all but one part of its prompt.
TEST_CASE("requests that share a crashing part of the prompt are refused after a few crashes")
{
    CrashFleet fleet({ .seed = GENERATE(1U, 2U, 3U) });
    fleet.run();
    REQUIRE(fleet.crashes >= CrashFleet::boundCrashes);
    CHECK(fleet.callsAfterBound <= maxCallsAfterBound);
    CHECK(fleet.soundFinished * 2 >= fleet.soundArrived);
}
