#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A router whose plain calls take 30 ms, and which has learned that.
struct ShortDeadlineFixture : RouterFixture {
    ShortDeadlineFixture()
    {
        plain1.setTiming(30ms, 0ms);
        plain2.setTiming(30ms, 0ms);
        startAndWait();
        for (int call = 0; call < 20; ++call)
            REQUIRE(read() == 200);
    }

    auto read(std::vector<HttpHeader> headers = {}) -> unsigned { return call("GET", "/read/x", {}, std::move(headers))->status; }
};

}

// Guards against callers with short deadlines that take a plain service away from all others.
TEST_CASE("calls that end at short deadlines of their callers do not eject servers")
{
    ShortDeadlineFixture fixture;
    const auto runs = fixture.plain1.requests() + fixture.plain2.requests();
    for (int call = 0; call < 20; ++call)
        CHECK(fixture.read({ { "Deadline-Ms", "5" } }) == 504);
    CHECK(fixture.plain1.requests() + fixture.plain2.requests() >= runs + 10);
    for (int call = 0; call < 10; ++call)
        CHECK(fixture.read() == 200);
}

// Guards against silent servers that go on getting calls because their callers' deadlines are not their routes' timeouts.
TEST_CASE("servers at which calls with enough time end at their callers' deadlines are ejected")
{
    ShortDeadlineFixture fixture;
    fixture.plain1.setTiming(1'000ms, 0ms);
    fixture.plain2.setTiming(1'000ms, 0ms);
    auto refused = 0;
    for (int call = 0; call < 12; ++call)
        refused += fixture.read({ { "Deadline-Ms", "200" } }) == 503;
    CHECK(refused > 0);
}
