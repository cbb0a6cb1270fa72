#include "../RouterFixture.h"

#include <future>
#include <vector>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// Enough calls for an estimate of the answer time of their kind.
constexpr int learnedCalls = 8;
constexpr int learnedStreams = 20;

/// A router that serves requests until shortly before the end of its drain.
struct LateFixture : RouterFixture {
    LateFixture()
    {
        drainTimeout = 2s;
        deregistrationDelay = 1'700ms;
    }
    ~LateFixture() { stop(); }
    LateFixture(const LateFixture&) = delete;
    auto operator=(const LateFixture&) -> LateFixture& = delete;

    auto setWork(Duration work) -> void
    {
        plain1.setTiming(work, 0s);
        plain2.setTiming(work, 0s);
    }

    auto learn(const std::string& method, const std::string& target) -> void
    {
        for (auto index = 0; index < learnedCalls; ++index)
            REQUIRE(call(method, target)->status == 200);
    }

    auto startDraining() -> void
    {
        router->onDrained([this](bool isComplete) { drained.set_value(isComplete); });
        router->startDraining();
        startedAt = monotonicNow();
    }

    /// Waits until a time is left before the instance ends its requests.
    auto waitUntilLeft(Duration left) const -> void
    {
        constexpr auto requestTime = 1'758ms;
        std::this_thread::sleep_until(startedAt + requestTime - left);
    }

    auto plainRuns() const -> int { return plain1.runs() + plain2.runs(); }

    TimePoint startedAt {};
    std::promise<bool> drained;
};

auto checkRefused(const HttpResult<HttpResponse>& response) -> void
{
    REQUIRE(response.has_value());
    CHECK(response->status == 503);
    CHECK_THAT(response->body, Catch::Contains(R"("type":"draining")") && Catch::Contains(R"("ran":"no")"));
    CHECK(findHeader(response->headers, "Retry-After"));
    CHECK(findHeader(response->headers, "Connection") == "close");
}

}

// Guards against a call that is passed on although it can't end before the process does, and whose caller then gets an
// unknown outcome. GET uses a connection from before the drain, POST a new one.
TEST_CASE("a late call that takes longer than the rest of a drain is refused as not run before it is sent")
{
    const auto [method, target] = GENERATE(table<std::string, std::string>({ { "GET", "/read/x" }, { "POST", "/post/x" } }));
    CAPTURE(method);
    LateFixture fixture;
    fixture.setWork(400ms);
    fixture.startAndWait();
    fixture.learn(method, target);
    fixture.startDraining();
    if (method == "POST")
        CHECK(fixture.call(method, target)->status == 200);
    fixture.waitUntilLeft(300ms);
    const auto runs = fixture.plainRuns();
    const auto sentAt = monotonicNow();
    checkRefused(fixture.call(method, target));
    CHECK(monotonicNow() - sentAt < 200ms);
    CHECK(fixture.plainRuns() == runs);
    CHECK(fixture.drained.get_future().get());
}

// Guards against a drain that refuses work which it could finish.
TEST_CASE("a late call that fits into the rest of a drain is served although its caller allows more time")
{
    const auto [method, target] = GENERATE(table<std::string, std::string>({ { "GET", "/read/x" }, { "POST", "/post/x" } }));
    CAPTURE(method);
    LateFixture fixture;
    fixture.startAndWait();
    fixture.learn(method, target);
    fixture.startDraining();
    fixture.waitUntilLeft(500ms);
    CHECK(fixture.call(method, target)->status == 200);
    CHECK(fixture.drained.get_future().get());
}

// Guards against a call that starts at the end of a drain while nothing is known about its duration.
TEST_CASE("a late call of unknown duration is served only if its caller gives up before the end of the drain")
{
    LateFixture fixture;
    fixture.startAndWait();
    fixture.startDraining();
    fixture.waitUntilLeft(500ms);
    checkRefused(fixture.call("POST", "/post/x"));
    CHECK(fixture.plainRuns() == 0);
    CHECK(fixture.call("POST", "/post/x", {}, { { "Deadline-Ms", "250" } })->status == 200);
    CHECK(fixture.drained.get_future().get());
}

// Guards against a stream that is cut at the end of a drain because it was started too late.
TEST_CASE("a late stream that takes longer than the rest of a drain is refused as not run before its prefill")
{
    LateFixture fixture;
    fixture.decode1.setTiming(0s, 60ms);
    fixture.decode2.setTiming(0s, 60ms);
    fixture.startAndWait();
    for (auto index = 0; index < learnedStreams; ++index)
        REQUIRE(fixture.streamCall("/once/x")->status == 200);
    fixture.startDraining();
    CHECK(fixture.streamCall("/once/x")->status == 200);
    fixture.waitUntilLeft(200ms);
    const auto prefills = fixture.prefill.prefills();
    const auto runs = fixture.decode1.runs() + fixture.decode2.runs();
    checkRefused(fixture.streamCall("/once/x"));
    CHECK(fixture.prefill.prefills() == prefills);
    CHECK(fixture.decode1.runs() + fixture.decode2.runs() == runs);
    CHECK(fixture.drained.get_future().get());
}
