#include "DecodeEngine.h"
#include "PrefillEngine.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::bench;
using namespace std::chrono_literals;

namespace {

auto job(std::uint64_t request, std::uint32_t promptTokens, std::uint32_t outputTokens = 1) -> EngineJob
{
    return { .request = RequestId { request }, .attempt = 1, .promptTokens = promptTokens, .outputTokens = outputTokens };
}

struct DecodeFixture {
    EngineParameters parameters;
    EventQueue events;
    std::vector<std::pair<RequestId, TimePoint>> tokens;
    std::vector<RequestId> preempted;
    DecodeEngine engine { events, parameters, {
                                                  .token = [this](const EngineJob& given, std::uint32_t) { tokens.emplace_back(given.request, events.now()); },
                                                  .preempted = [this](const EngineJob& given) { preempted.push_back(given.request); },
                                                  .crashed = [] {},
                                              } };
};

struct PrefillFixture {
    EngineParameters parameters;
    EventQueue events;
    std::vector<std::pair<RequestId, TimePoint>> done;
    std::uint64_t computed = 0;
    std::uint32_t lastCached = 0;
    std::uint32_t expired = 0;
    PrefillEngine engine { events, parameters, {
                                                   .done = [this](const EngineJob& given, std::uint32_t cached, TimePoint) {
                                                  lastCached = cached;
                                                  done.emplace_back(given.request, events.now()); },
                                                   .computed = [this](const EngineJob&, std::uint32_t count) { computed += count; },
                                                   .expired = [this](const EngineJob&) { ++expired; },
                                               } };
};

}

// Guards against a fake engine that accepts more requests than it has slots, which would raise the
// goodput of every arm.
TEST_CASE("a decode engine refuses a request when all its slots are in use")
{
    DecodeFixture fixture;
    for (std::uint64_t request = 0; request < fixture.parameters.decodeSlots; ++request)
        CHECK(fixture.engine.submit(job(request, 100)));
    CHECK_FALSE(fixture.engine.submit(job(99, 100)));
    fixture.engine.cancel(RequestId { 0 });
    CHECK(fixture.engine.submit(job(99, 100)));
}

// Guards against memory that is not counted, or not released when a request ends.
TEST_CASE("a decode engine counts memory in whole blocks and releases them")
{
    DecodeFixture fixture;
    fixture.parameters.memoryBlocks = 4;
    CHECK(fixture.engine.submit(job(1, 2'000, 2)));
    CHECK(fixture.engine.usedMemoryBlocks() == 2);
    CHECK(fixture.engine.submit(job(2, 2'500, 2)));
    CHECK_FALSE(fixture.engine.submit(job(3, 100)));
    fixture.engine.addToBatch(RequestId { 1 }, 1);
    fixture.engine.addToBatch(RequestId { 2 }, 1);
    fixture.events.runUntil(fixture.events.now() + 1s);
    CHECK(fixture.tokens.size() == 4);
    CHECK(fixture.engine.usedMemoryBlocks() == 0);
}

// Guards against responses that grow beyond the memory of the engine.
TEST_CASE("a decode engine without memory for the next token preempts its newest request")
{
    DecodeFixture fixture;
    fixture.parameters.memoryBlocks = 2;
    CHECK(fixture.engine.submit(job(1, 1'990, 50)));
    CHECK(fixture.engine.submit(job(2, 100, 50)));
    fixture.engine.addToBatch(RequestId { 1 }, 1);
    fixture.engine.addToBatch(RequestId { 2 }, 1);
    fixture.events.runUntil(fixture.events.now() + 5s);
    CHECK(fixture.preempted == std::vector { RequestId { 2 } });
    CHECK(fixture.engine.usedMemoryBlocks() == 0);
}

// Guards against token gaps that do not depend on the batch size.
TEST_CASE("the token gap grows with the batch size")
{
    DecodeFixture fixture;
    CHECK(fixture.engine.submit(job(1, 100, 2)));
    fixture.engine.addToBatch(RequestId { 1 }, 1);
    fixture.events.runUntil(TimePoint {} + 1s);
    REQUIRE(fixture.tokens.size() == 2);
    CHECK(fixture.tokens[1].second - fixture.tokens[0].second == tokenGap(fixture.parameters, 1));
    CHECK(tokenGap(fixture.parameters, 20) == 34ms);
}

// Guards against results that never expire or can be fetched after their expiry.
TEST_CASE("a prefill result expires unless it is pinned")
{
    PrefillFixture fixture;
    CHECK(fixture.engine.submit(job(1, 100)));
    CHECK(fixture.engine.submit(job(2, 100)));
    fixture.events.runUntil(TimePoint {} + 100ms);
    REQUIRE(fixture.done.size() == 2);
    CHECK(fixture.engine.pin(RequestId { 2 }, 1));
    fixture.events.runUntil(fixture.done[0].second + 799ms);
    CHECK(fixture.engine.usedMemoryBlocks() == 2);
    fixture.events.runUntil(fixture.done[1].second + 801ms);
    CHECK(fixture.engine.usedMemoryBlocks() == 1);
    CHECK(fixture.expired == 1);
    CHECK_FALSE(fixture.engine.pin(RequestId { 1 }, 1));
    fixture.engine.release(RequestId { 2 }, 1);
    CHECK(fixture.engine.usedMemoryBlocks() == 0);
}

// Guards against a cache that never hits, or that counts cached tokens as computed.
TEST_CASE("a cached prefix is not computed again")
{
    PrefillFixture fixture;
    const std::vector<std::uint64_t> blocks { 11, 12, 13 };
    auto first = job(1, 1'000);
    first.prefixBlocks = blocks;
    auto second = job(2, 1'000);
    second.prefixBlocks = std::span(blocks).first(2);
    CHECK(fixture.engine.submit(first));
    fixture.events.runUntil(TimePoint {} + 500ms);
    CHECK(fixture.computed == 1'000);
    CHECK(fixture.engine.submit(second));
    fixture.events.runUntil(TimePoint {} + 1s);
    CHECK(fixture.lastCached == 512);
    CHECK(fixture.computed == 1'488);
}

// Guards against an urgent prompt that waits until a long prompt is fully computed.
TEST_CASE("an urgent prompt preempts a long one at the next chunk")
{
    PrefillFixture fixture;
    auto slow = job(1, 20'000);
    slow.priority = 2;
    CHECK(fixture.engine.submit(slow));
    CHECK(fixture.engine.submit(job(2, 300)));
    fixture.events.runUntil(TimePoint {} + 200ms);
    REQUIRE(fixture.done.size() == 1);
    CHECK(fixture.done[0].first == RequestId { 2 });
}

// Guards against concurrent transfers that each use the full rate of a link.
TEST_CASE("concurrent transfers share the rate of a link")
{
    EventQueue events;
    SharedLink link(events, 1'000);
    TimePoint shortDone {};
    TimePoint longDone {};
    link.start(500, [&] { shortDone = events.now(); });
    link.start(1'500, [&] { longDone = events.now(); });
    const auto stalled = link.start(1'000, [] { FAIL("a stalled transfer ended"); });
    link.stall(stalled);
    events.runUntil(TimePoint {} + 10s);
    // Each transfer has half the rate until the short one ends after 1 s. The long one then has the
    // full rate.
    CHECK(toSeconds(shortDone.time_since_epoch()) == Approx(1.0).margin(0.001));
    CHECK(toSeconds(longDone.time_since_epoch()) == Approx(2.0).margin(0.001));
    CHECK(link.transfers() == 1);
}
