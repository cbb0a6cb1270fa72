#include "BackOff.h"
#include "CallRateLimiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace jayhold;
using namespace std::chrono_literals;

// Guards against more calls to the platform than the rate limit allows, whatever their timing.
TEST_CASE("calls never exceed the rate limit")
{
    rc::prop("calls in any rhythm", [] {
        CallRateLimiter limiter { .callsPerSecond = 20, .burst = 10, .tokens = 10, .refilledAt = TimePoint(1'000s) };
        auto now = limiter.refilledAt;
        std::vector<TimePoint> calls;
        for (int call = 0; call < 300; ++call) {
            now += std::chrono::milliseconds(*rc::gen::resize(100, rc::gen::inRange(0, 60)));
            const auto wait = reserveCall(limiter, now, 500ms);
            RC_ASSERT(wait <= 500ms);
            if (wait >= Duration::zero())
                calls.push_back(now + wait);
        }
        // Waiting callers may have reserved the tokens of the next half second.
        for (std::size_t first = 0; first < calls.size(); ++first) {
            const auto inSecond = std::ranges::count_if(calls, [&](TimePoint at) { return at >= calls[first] && at < calls[first] + 1s; });
            RC_ASSERT(inSecond <= 31);
        }
    });
}

// Guards against instances that retry an unavailable platform at the same moments, or that wait long
// before they try it again.
TEST_CASE("retries back off with jitter and one call is the probe")
{
    BackOff backOff;
    const TimePoint now { 1'000s };
    CHECK(admitCall(backOff, now));
    std::set<Duration> waits;
    for (std::uint64_t random = 1; random < 200'000'000; random += 12'345'679) {
        recordFailure(backOff, now, random);
        const auto wait = timeUntilRetry(backOff, now);
        CHECK((wait >= 50ms && wait <= 3s));
        waits.insert(wait);
    }
    CHECK(waits.size() > 10);
    CHECK_FALSE(admitCall(backOff, now));
    const auto later = now + 3s;
    CHECK(admitCall(backOff, later));
    CHECK_FALSE(admitCall(backOff, later));
    CHECK(admitCall(backOff, later + 1s));
    recordSuccess(backOff);
    CHECK(admitCall(backOff, later));
    CHECK(timeUntilRetry(backOff, later) == Duration::zero());
}
