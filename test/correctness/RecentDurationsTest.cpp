#include "RecentDurations.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto recorded(int first, int last) -> RecentDurations
{
    RecentDurations durations;
    for (auto value = first; value <= last; ++value)
        durations.record(std::chrono::milliseconds(value));
    return durations;
}

}

// Guards against an estimate from one or two calls.
TEST_CASE("few durations give no estimate")
{
    CHECK_FALSE(recorded(1, 7).quantile(0.5));
    CHECK(recorded(1, 8).quantile(0.5) == 4ms);
}

TEST_CASE("the quantile of recent durations is one of them")
{
    const auto durations = recorded(1, 100);
    CHECK(durations.quantile(0) == 1ms);
    CHECK(durations.quantile(0.95) == 95ms);
    CHECK(durations.quantile(1) == 100ms);
}

// Guards against an estimate that calls of long ago determine.
TEST_CASE("later durations replace the earliest ones")
{
    auto durations = recorded(1'000, 1'127);
    for (auto call = 0; call < 127; ++call)
        durations.record(1ms);
    CHECK(durations.quantile(1) == 1'127ms);
    durations.record(1ms);
    CHECK(durations.quantile(1) == 1ms);
}
