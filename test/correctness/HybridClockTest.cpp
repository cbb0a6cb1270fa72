#include "HybridClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;

// Guards against a timeline in which an effect precedes its cause when clocks are skewed or step back.
TEST_CASE("a received timestamp orders later events after it")
{
    rc::prop("ticks grow and follow every observed timestamp", [](const std::vector<std::pair<bool, std::uint16_t>>& steps) {
        HybridClock clock;
        HybridTime last;
        for (const auto& [isMessage, wall] : steps) {
            if (isMessage) {
                const HybridTime remote { wall, 3 };
                clock.observeAt(remote, 0);
                last = std::max(last, remote);
            }
            const auto next = clock.tickAt(wall / 2);
            RC_ASSERT(next > last);
            last = next;
        }
    });
}

// Guards against one instance with a wrong clock that advances every other clock into the future.
TEST_CASE("a timestamp far in the future is ignored")
{
    HybridClock clock;
    clock.observeAt({ 1'000'000'000, 0 }, 1'000);
    CHECK(clock.tickAt(2'000).wallMicroseconds == 2'000);
}

// Guards against malformed time headers that are parsed as timestamps.
TEST_CASE("hybrid times are parsed strictly")
{
    CHECK(parseHybridTime("12.3") == HybridTime { 12, 3 });
    CHECK_FALSE(parseHybridTime("12"));
    CHECK_FALSE(parseHybridTime("12.x"));
    CHECK_FALSE(parseHybridTime(".1"));
    CHECK_FALSE(parseHybridTime("12.3 "));
}
