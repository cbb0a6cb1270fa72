#include "LoadRun.h"

#include "ReturnPromises.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint32_t refusedCustomer = 5;

/// @return a shard whose only slot is in use. Requests of one customer are refused as soon as they arrive.
auto occupied() -> ShardHarness
{
    auto settings = LoadRun::settings();
    settings.refuseOverdue = false;
    settings.customerQueueLimits[refusedCustomer] = 0;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 1);
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1, 1);
    return harness;
}

/// Lets the less urgent requests wait until one start is expected each second.
auto expectOneStartEachSecond(ShardHarness& harness, std::uint64_t lessUrgent) -> void
{
    for (std::uint64_t id = 1; id <= lessUrgent; ++id)
        harness.arrive(100 + id, 1, 1);
    harness.advance(3s);
}

auto refusedDelay(ShardHarness& harness, std::uint64_t id, std::uint16_t kind, std::uint64_t signature = 0) -> Duration
{
    harness.arrive(id, kind, refusedCustomer, 1'000, signature);
    const auto refusal = harness.last<Refuse>();
    REQUIRE(refusal);
    REQUIRE(refusal->request == RequestId { id });
    return refusal->retryAfter;
}

auto isWithinJitter(Duration delay, Duration expected) -> bool
{
    return delay >= expected && delay <= expected * 5 / 4;
}

}

// Load: a backlog of less urgent requests, and callers of both ranks that are refused one after another. Guards against urgent
// callers that are told to stay away for the time that less urgent ones need, and against less urgent ones that are told to
// return before there is room or all at the same time.
TEST_CASE("the retry delay covers the waiting and promised requests of the rank and of more urgent ones")
{
    rc::prop("any sequence of ranks", [] {
        auto harness = occupied();
        expectOneStartEachSecond(harness, 3);
        const auto kinds = *rc::gen::container<std::vector<std::uint16_t>>(*rc::gen::inRange<std::size_t>(1, 14), rc::gen::inRange<std::uint16_t>(0, 2));
        std::size_t urgent = 0;
        for (std::size_t index = 0; index < kinds.size(); ++index) {
            const auto starts = kinds[index] == 0 ? urgent : 3 + index;
            RC_ASSERT(isWithinJitter(refusedDelay(harness, 1'000 + index, kinds[index]), std::max<Duration>(starts * 1s, 1s)));
            urgent += kinds[index] == 0;
        }
    });
}

// Load: a caller that returns at once and often, and callers whose deadlines pass before there is room. Guards against delays of
// others that grow with each return of the one, or with the others, who don't return.
TEST_CASE("a caller that returns early counts once, and one that can't return in time not at all")
{
    auto harness = occupied();
    expectOneStartEachSecond(harness, 3);
    constexpr std::uint64_t signature = 77;
    for (std::uint64_t id = 1'000; id < 1'010; ++id)
        CHECK(isWithinJitter(refusedDelay(harness, id, 1, signature), 3s));
    for (std::uint64_t id = 1'500; id < 1'510; ++id)
        harness.send(RequestArrived { .request = RequestId { id }, .kind = KindId { 1 }, .customer = CustomerId { refusedCustomer }, .promptTokens = 1'000, .maxTokens = 200, .deadline = harness.now + 2s, .prefixBlocks = {}, .signature = id });
    CHECK(isWithinJitter(refusedDelay(harness, 2'000, 1), 4s));
}

// Load: refused callers that never return. Guards against promises that are kept for ever, and against unbounded memory.
TEST_CASE("promises end with their delay and are limited")
{
    ReturnPromises promises;
    const TimePoint now(10s);
    for (std::uint64_t caller = 1; caller <= 2 * ReturnPromises::maxPromises; ++caller)
        promises.add({}, caller % 2 ? caller : 0, now, now + Duration(1'000 * caller));
    CHECK(promises.countUpTo({}, now) == ReturnPromises::maxPromises);
    CHECK(promises.countUpTo({ 0, 9 }, now) == 0);
    promises.arrived(1);
    promises.arrived(1);
    CHECK(promises.countUpTo({}, now) == ReturnPromises::maxPromises - 1);
    CHECK(promises.countUpTo({}, now + 100ms) == ReturnPromises::maxPromises - 100);
    CHECK(promises.countUpTo({}, now + 10s) == 0);
}
