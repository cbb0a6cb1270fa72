#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A router whose routes expect the first event within 100 ms and each further one within 50 ms, so that servers
/// count as silent after 200 ms.
struct ImpatientRouter : RouterFixture {
    ImpatientRouter()
    {
        auto configuration = configurationOf(4);
        for (auto& route : configuration["routes"].as_array()) {
            route.as_object()["targetLatencyMs"] = 100;
            route.as_object()["targetGapMs"] = 50;
        }
        platform.put("config", "main", std::move(configuration));
    }
};

}

// Guards against a stream that is cut because its only engine pauses.
TEST_CASE("an engine that pauses completes its stream if no other engine has room")
{
    ImpatientRouter fixture;
    fixture.registerServer(fixture.decode2, "llm", "decode", "draining");
    fixture.decode1.setTiming(Duration::zero(), 250ms);
    fixture.startAndWait();
    const auto response = fixture.streamCall("/resumed/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode1.runs() == 1);
}

// Guards against a silent attempt that ends before its replacement holds a slot.
TEST_CASE("a silent engine goes on with its stream if the other one refuses a slot")
{
    ImpatientRouter fixture;
    fixture.decode1.setTiming(Duration::zero(), 250ms);
    fixture.decode2.setRefusesReservations(true);
    fixture.startAndWait();
    const auto response = fixture.streamCall("/resumed/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode1.runs() == 1);
    CHECK(fixture.prefill.prefills() == 1);
    CHECK(fixture.decode2.runs() == 0);
    CHECK(fixture.decode2.refusedReservations() > 1);
}

// Guards against a stream that is moved away from an engine that has gone on while a slot was reserved elsewhere, and
// against a slot that stays reserved for it.
TEST_CASE("an engine that goes on while a slot is reserved elsewhere keeps its stream")
{
    ImpatientRouter fixture;
    fixture.platform.remove("servers", "decode-2");
    fixture.decode1.setTiming(Duration::zero(), 250ms);
    fixture.decode2.setReservationTime(100ms);
    fixture.startAndWait();
    std::thread second([&] {
        fixture.waitUntil([&] { return fixture.decode1.runs() == 1; });
        fixture.registerServer(fixture.decode2, "llm", "decode");
    });
    const auto response = fixture.streamCall("/resumed/x");
    second.join();
    REQUIRE(response.has_value());
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode1.runs() == 1);
    CHECK(fixture.decode2.runs() == 0);
    CHECK(fixture.waitUntil([&] { return fixture.decode2.releasedReservations() > 0; }));
}

// Guards against a caller that waits for a hung engine, and against tokens that are lost or repeated when its stream
// moves.
TEST_CASE("a stream moves from a silent engine to one that has reserved a slot")
{
    ImpatientRouter fixture;
    fixture.platform.remove("servers", "decode-2");
    fixture.decode1.setTiming(Duration::zero(), 700ms);
    fixture.startAndWait();
    std::thread second([&] {
        fixture.waitUntil([&] { return fixture.decode1.runs() == 1; });
        fixture.registerServer(fixture.decode2, "llm", "decode");
    });
    const auto response = fixture.streamCall("/resumed/x");
    second.join();
    REQUIRE(response.has_value());
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode1.runs() == 1);
    CHECK(fixture.decode2.runs() == 1);
}

// Guards against a prefill that is sent again and again to an engine that needs longer than expected.
TEST_CASE("a prefill that takes long is not sent again if no other engine has room")
{
    ImpatientRouter fixture;
    fixture.platform.remove("servers", "decode-2");
    fixture.prefill.setTiming(500ms, Duration::zero());
    fixture.decode1.setTiming(500ms, Duration::zero());
    fixture.startAndWait();
    const auto response = fixture.streamCall("/once/x");
    REQUIRE(response.has_value());
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.prefill.prefills() == 1);
    CHECK(fixture.decode1.runs() == 1);
}

// Guards against a call that fails because its server took half of the time, although no other server could
// take it.
TEST_CASE("a plain call waits for a silent server if no other one can take it")
{
    RouterFixture fixture;
    fixture.registerServer(fixture.plain2, "ledger", {}, "draining");
    fixture.plain1.setTiming(1s, Duration::zero());
    fixture.startAndWait();
    const auto response = fixture.call("GET", "/read/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(fixture.plain1.runs() == 1);
}

// Guards against a call that waits for a hung server although another one could answer.
TEST_CASE("a plain call moves from a silent server to another one")
{
    RouterFixture fixture;
    fixture.plain1.setTiming(5s, Duration::zero());
    fixture.startAndWait();
    auto longest = Duration::zero();
    for (auto call = 0; call < 3; ++call) {
        const auto startedAt = monotonicNow();
        const auto response = fixture.call("GET", "/read/x");
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        longest = std::max(longest, monotonicNow() - startedAt);
    }
    // At least one call was sent to the silent server first, for half of its time.
    CHECK(longest > 700ms);
    CHECK(fixture.plain2.runs() == 3);
}

// Guards against a call that fails with time left, because its silent server was given up for one that rejects it.
TEST_CASE("a plain call stays at its silent server if another one rejects it")
{
    RouterFixture fixture;
    fixture.plain1.setTiming(1s, Duration::zero());
    fixture.plain2.setBehaviour(Behaviour::Reject);
    fixture.startAndWait();
    for (auto call = 0; call < 3; ++call) {
        const auto response = fixture.call("GET", "/read/x");
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
    }
    CHECK(fixture.plain1.runs() == 3);
}

// Guards against a second run of a call that must not be repeated.
TEST_CASE("a plain call that may run only once stays at its silent server")
{
    RouterFixture fixture;
    fixture.plain1.setTiming(1s, Duration::zero());
    fixture.plain2.setTiming(1s, Duration::zero());
    fixture.startAndWait();
    const auto response = fixture.call("POST", "/post/x", "deposit");
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(fixture.plain1.runs() + fixture.plain2.runs() == 1);
}
