#include "BackendPauses.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// The greatest time that is added to a pause so that instances don't return at the same moment.
constexpr Duration maxReturnDelay = 1s + 1us;

const TimePoint start { 1'000s };

/// @return the pause of the server "a" after it has asked for one.
auto pauseAfter(BackendPauses& pauses, TimePoint now, Duration delay, std::string_view incarnation = "1") -> BackendPause
{
    recordPause(pauses, now, "a", incarnation, delay);
    return pauseOf(pauses, now, "a", std::string(incarnation)).value_or(BackendPause {});
}

}

// Guards against a server that gets requests before the time that it has named.
TEST_CASE("a pause lasts at least as long as the server asks")
{
    for (const auto delay : { Duration(1us), Duration(200ms), Duration(1s), Duration(10s), Duration(1h) }) {
        BackendPauses pauses;
        const auto pause = pauseAfter(pauses, start, delay);
        CHECK(pause.askedUntil == start + delay);
        CHECK(pause.until > start + delay);
        CHECK(pause.until <= start + delay + maxReturnDelay);
        CHECK_FALSE(pauseOf(pauses, pause.until, "a", "1"));
        CHECK_FALSE(pauseOf(pauses, start, "b", "1"));
    }
}

// Guards against instances that all return to a server at the same moment.
TEST_CASE("instances return at different times, and one at the same time however often the server answers")
{
    BackendPauses first { .random = { 1 } };
    BackendPauses second { .random = { 2 } };
    const auto pause = pauseAfter(first, start, 10s);
    CHECK(pause.until != pauseAfter(second, start, 10s).until);
    for (auto answer = 0; answer < 100; ++answer)
        CHECK_FALSE(recordPause(first, start, "a", "1", 10s));
    CHECK(pauseAfter(first, start, 10s) == pause);
    // The next responses to requests that were under way change nothing until their end is later.
    CHECK_FALSE(recordPause(first, start + 1us, "a", "1", 10s));
    CHECK(recordPause(first, start + 2s, "a", "1", 10s));
    CHECK(pauseOf(first, start + 2s, "a", "1")->until > start + 12s);
}

// Guards against a pause that ends before the time that an earlier response has named.
TEST_CASE("the latest end of all responses counts")
{
    BackendPauses pauses;
    const auto longer = pauseAfter(pauses, start, 10s);
    CHECK(pauseAfter(pauses, start + 1s, 2s) == longer);
    const auto extended = pauseAfter(pauses, start + 2s, 20s);
    CHECK(extended.askedUntil == start + 22s);
    CHECK(extended.until > start + 22s);
}

// Guards against a server that is left out because of a response that asks for nothing.
TEST_CASE("no time or a negative time asks for no pause and ends none")
{
    BackendPauses pauses;
    CHECK_FALSE(recordPause(pauses, start, "a", "1", 0s));
    CHECK_FALSE(recordPause(pauses, start, "a", "1", -5s));
    CHECK(pauses.entries.empty());
    const auto pause = pauseAfter(pauses, start, 10s);
    CHECK_FALSE(recordPause(pauses, start + 1s, "a", "1", 0s));
    CHECK(pauseOf(pauses, start + 1s, "a", "1") == pause);
}

// Guards against a restarted server that is left out for what the process before it asked for, and against a late
// response of that process which ends the pause of the new one.
TEST_CASE("a pause belongs to one process of a server")
{
    BackendPauses pauses;
    pauseAfter(pauses, start, 10s, "1");
    CHECK_FALSE(pauseOf(pauses, start, "a", "2"));
    const auto second = pauseAfter(pauses, start, 20s, "2");
    pauseAfter(pauses, start + 1s, 1s, "1");
    CHECK(pauseOf(pauses, start + 1s, "a", "2") == second);
}

// Guards against a faulty value that takes a server, or all of a service, out for days.
TEST_CASE("a server gets one request an hour after it has asked for longer, and then waits as long as it repeats")
{
    BackendPauses pauses;
    for (const auto delay : { Duration(24h), Duration::max() }) {
        const auto pause = pauseAfter(pauses, start, delay);
        CHECK(pause.until >= start + 1h);
        CHECK(pause.until <= start + 1h + maxReturnDelay);
        CHECK(pause.askedUntil >= start + 24h);
    }
    const auto first = *pauseOf(pauses, start, "a", "1");
    // The server turns that request away.
    auto rejecting = pauses;
    const auto second = pauseAfter(rejecting, first.until, GENERATE(1s, 7200s));
    CHECK(second.askedUntil == first.askedUntil);
    CHECK(second.until > second.askedUntil);
    // The server is not in the list for some time, in which it is forgotten whether the request was sent.
    auto missing = pauses;
    handleMissing(missing, first.until, [](const std::string&, const std::string&) { return false; });
    CHECK(pauseOf(missing, first.until, "a", "1")->until > first.askedUntil);
    // The server serves it.
    endPause(pauses, first.until - 1us, "a", "1");
    CHECK(pauseOf(pauses, first.until, "a", "1"));
    endPause(pauses, first.until, "a", "1");
    CHECK_FALSE(pauseOf(pauses, first.until, "a", "1"));
    CHECK(pauseAfter(pauses, first.until, 1s).askedUntil == first.until + 1s);
}

// Guards against a table that grows with every process that has ever asked for a pause.
TEST_CASE("pauses that are over are forgotten")
{
    BackendPauses pauses;
    for (auto process = 0; process < 100; ++process)
        recordPause(pauses, start + process * 10s, "a", std::to_string(process), 1s);
    CHECK(pauses.entries.size() == 1);
    forgetEndedPauses(pauses, start + 2'000s);
    CHECK(pauses.entries.empty());
}
