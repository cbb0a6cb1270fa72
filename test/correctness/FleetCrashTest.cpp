#include "CrashFleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

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
    REQUIRE(fleet.crashes > 0);
    CHECK(fleet.crashes <= CrashFleetSettings().boundCrashes);
    CHECK(fleet.callsAfterBound <= maxCallsAfterBound);
    CHECK(fleet.harmlessFinished * 2 >= fleet.harmlessArrived);
    CHECK(fleet.servesHarmlessRequests());
}

// Guards against instances that do not know of a blocked part because they started later, were cut off or
// lost messages, and against harmless requests that are refused for what they share with crashing ones.
TEST_CASE("restarted and cut off instances do not run requests with a blocked part")
{
    rc::prop("in any order of restarts and cuts", [](std::uint32_t seed) {
        CrashFleet fleet({ .seed = seed, .crashingShare = 0.3, .messageLoss = 0.3, .length = std::chrono::seconds(32) });
        std::minstd_rand random(seed + 1);
        const auto number = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
        for (auto count = number(6); count > 0; --count) {
            const auto instance = static_cast<std::size_t>(number(5));
            const auto time = CrashFleetSettings().calmTime + std::chrono::milliseconds(number(20'000));
            const auto length = std::chrono::milliseconds(number(10'000));
            const auto what = number(2);
            fleet.at(time, [&fleet, instance, length, what] {
                if (what == 0)
                    fleet.restart(instance);
                else if (what == 1)
                    fleet.cutFromPeers(instance, length);
                else
                    fleet.cutFromStore(instance, length);
            });
        }
        fleet.run();
        RC_ASSERT(fleet.callsAfterBound <= maxCallsAfterBound);
        RC_ASSERT(fleet.harmlessFinished * 2 >= fleet.harmlessArrived);
        RC_ASSERT(fleet.servesHarmlessRequests());
    });
}

// Guards against a list that only instances with working connections to their peers can use.
TEST_CASE("instances that reach no peer learn of a blocked part from the shared list")
{
    // The third crash shows the part to the other instances. Alone, an instance sees too few of the requests
    // to find it in time.
    CrashFleet fleet({ .seed = GENERATE(1U, 2U, 3U, 4U), .crashingShare = 0.05, .boundCrashes = 3 });
    fleet.at(std::chrono::seconds(0), [&] {
        fleet.cutFromPeers(0, std::chrono::seconds(100));
        fleet.cutFromPeers(1, std::chrono::seconds(100));
    });
    fleet.run();
    REQUIRE(fleet.crashes > 0);
    CHECK(fleet.callsAfterBound <= maxCallsAfterBound);
    CHECK(fleet.harmlessFinished * 2 >= fleet.harmlessArrived);
    CHECK(fleet.servesHarmlessRequests());
}
