#include "ServerSpeed.h"
#include "SpeedReference.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1'000s };

/// Observes work of 50 ms each until the given time.
auto observeUntil(ServerSpeed& speed, TimePoint& now, TimePoint end, double relative) -> void
{
    for (; now < end; now += 50ms)
        observeSpeed(speed, now, 0.05 * relative, 0.05);
}

}

// Load pattern: an engine has slow phases of 600 ms in which everything takes 2.5 times as long.
// Guards against an engine that is avoided after such a phase as if it were slow for good, or not avoided during it.
TEST_CASE("a slow phase is noticed while it lasts and changes the lasting speed little")
{
    ServerSpeed speed;
    auto now = start;
    observeUntil(speed, now, start + 10s, 1);
    CHECK(expectedSpeed(speed, now, 0ms) == 1);
    observeUntil(speed, now, now + 400ms, 0.4);
    CHECK(expectedSpeed(speed, now, 0ms) < 0.7);
    CHECK(expectedSpeed(speed, now, 2s) > 0.8);
    observeUntil(speed, now, now + 200ms, 0.4);
    CHECK(lastingSpeed(speed, now) > 0.9);
    observeUntil(speed, now, now + 600ms, 1);
    CHECK(expectedSpeed(speed, now, 0ms) == 1);
}

// Load pattern: a server with many requests freezes for some seconds. Guards against a server that is taken for slow long
// afterwards, because each of these requests counted the same time, and that gets no work while others are idle.
TEST_CASE("requests that end together after a freeze do not make a server slow")
{
    ServerSpeed speed;
    auto now = start;
    observeUntil(speed, now, start + 3s, 1);
    now += 2'400ms;
    for (int request = 0; request < 20; ++request)
        observeSpeed(speed, now, 0.05, 2.4);
    CHECK(lastingSpeed(speed, now) > 0.9);
    CHECK(expectedSpeed(speed, now + 3s, 0ms) == 1);
    // One that stays slow is still noticed.
    observeUntil(speed, now, now + 6s, 0.5);
    CHECK(lastingSpeed(speed, now) < 0.75);
}

// Load pattern: a server freezes while it has requests. Guards against a mean that follows the freeze, with which all servers
// look fast and slow ones can't be told apart.
TEST_CASE("requests that a freeze delays change the mean speed little")
{
    SpeedReference reference;
    auto now = start;
    for (int request = 0; request < 100; ++request)
        addToReference(reference, now += 30ms, 1, 0.03);
    for (int request = 0; request < 10; ++request)
        addToReference(reference, now, 1, 2.4);
    CHECK(secondsAtMeanSpeed(reference, 1) < 0.03 / 0.55);
    // A mean that rises for good is followed.
    for (int request = 0; request < 400; ++request)
        addToReference(reference, now += 300ms, 1, 0.3);
    CHECK(secondsAtMeanSpeed(reference, 1) > 0.2);
}

// Load pattern: a quarter of the engines run at 0.55 of the nominal speed and the others at 1.2.
// Guards against estimates that are not relative to the service, or stay when an engine is not used any more.
TEST_CASE("a lasting difference is estimated relative to the service and ages")
{
    SpeedReference reference;
    ServerSpeed slow;
    ServerSpeed fast;
    auto now = start;
    for (; now < start + 60s; now += 100ms) {
        for (int engine = 0; engine < 3; ++engine)
            observeSpeed(fast, now, addToReference(reference, now, 120, 1), 1);
        observeSpeed(slow, now, addToReference(reference, now, 55, 1), 1);
    }
    CHECK(lastingSpeed(fast, now) / lastingSpeed(slow, now) == Approx(1.2 / 0.55).epsilon(0.05));
    CHECK(expectedSpeed(slow, now, 2s) < 0.6);
    CHECK(isReportable(observedSpeed(slow, now)));
    CHECK_FALSE(isReportable(observedSpeed(slow, now + speedReportTtl)));
    CHECK(expectedSpeed(slow, now + 100s, 2s) == 1);
    CHECK(lastingSpeed(slow, now + 200s) == 1);
}

// Load pattern: an instance reports speeds that are wrong, such as after a fault of its own.
// Guards against a report that takes an engine out of use or holds for long.
TEST_CASE("a wrong report has a bounded effect and expires")
{
    for (const auto wrong : { 0.0, -1.0, 1e9, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() }) {
        ServerSpeed speed;
        addHeardSpeed(speed, start, { .sender = 1, .speed = wrong, .seconds = 1e9, .observedAt = start + 1h });
        CHECK(expectedSpeed(speed, start, 0ms) >= minRelativeSpeed);
        CHECK(expectedSpeed(speed, start, 0ms) <= maxRelativeSpeed);
        CHECK(expectedSpeed(speed, start + speedReportTtl, 0ms) == 1);
        auto now = start;
        observeUntil(speed, now, start + 8s, 1);
        CHECK(lastingSpeed(speed, now) == Approx(1).margin(0.35));
    }
    ServerSpeed speed;
    addHeardSpeed(speed, start, { .sender = 1, .speed = 0.2, .seconds = 2, .observedAt = start });
    const auto once = lastingSpeed(speed, start);
    addHeardSpeed(speed, start, { .sender = 1, .speed = 0.2, .seconds = 2, .observedAt = start });
    CHECK(lastingSpeed(speed, start) == once);
    for (std::uint64_t sender = 2; sender <= 4; ++sender)
        addHeardSpeed(speed, start, { .sender = sender, .speed = 1, .seconds = 2, .observedAt = start });
    CHECK(lastingSpeed(speed, start) > 0.75);
}

// Guards against estimates outside their bounds after any observations and reports.
TEST_CASE("estimates stay within their bounds")
{
    CHECK(rc::check([] {
        ServerSpeed speed;
        auto now = start;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 1'000'000), rc::gen::inRange(0, 1'000'000)));
        for (const auto& [expected, taken] : steps) {
            now += Duration(taken);
            if (expected % 3 == 0)
                addHeardSpeed(speed, now, { .sender = static_cast<std::uint64_t>(taken % 6), .speed = expected / 1e5, .seconds = taken / 1e3, .observedAt = now - Duration(expected) });
            else
                observeSpeed(speed, now, expected / 1e5, taken / 1e5);
            const auto result = expectedSpeed(speed, now, Duration(expected));
            RC_ASSERT(result >= minRelativeSpeed && result <= maxRelativeSpeed);
        }
    }));
}
