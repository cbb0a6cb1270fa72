#include "SeatHeadroom.h"
#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto starts(const ShardHarness& harness) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(harness.all.begin(), harness.all.end(), [](const DecisionAction& action) { return std::holds_alternative<StartPrefill>(action); }));
}

/// A shard whose 50 decode seats are wanted by 60 requests of one kind.
auto flooded(std::uint16_t kind, ShardSettings settings = testSettings()) -> ShardHarness
{
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 200);
    harness.replica(2, PoolRole::Decode, 50);
    for (std::uint64_t id = 1; id <= 60; ++id)
        harness.arrive(id, kind, 0, 100);
    return harness;
}

}

// Guards against lookups that wait for a seat while long answers hold all of them.
TEST_CASE("long work leaves seats free that interactive work takes")
{
    auto batch = flooded(2);
    CHECK(starts(batch) == 47);
    for (std::uint64_t id = 101; id <= 105; ++id)
        batch.arrive(id, 0, 0, 100);
    CHECK(starts(batch) == 50);
    CHECK(starts(flooded(1)) == 49);
    CHECK(starts(flooded(0)) == 50);
}

// Guards against seats that stay empty for interactive work which a service does not have.
TEST_CASE("a service without an interactive kind uses all seats for long work")
{
    auto settings = testSettings();
    settings.kinds[0].latencyClass = LatencyClass::Standard;
    CHECK(starts(flooded(2, settings)) == 50);
}

// Guards against counts of seats that drift when a replica goes and comes back.
TEST_CASE("the headroom follows the live replicas")
{
    auto harness = flooded(2);
    harness.replica(3, PoolRole::Decode, 50);
    CHECK(starts(harness) == 60);
    harness.send(ReplicaChanged { ReplicaId { 3 }, PoolRole::Decode, ZoneId { 0 }, ReplicaState::Gone, 50, 0, 2'000, 0 });
    harness.replica(3, PoolRole::Decode, 50);
    for (std::uint64_t id = 201; id <= 300; ++id)
        harness.arrive(id, 2, 0, 100);
    CHECK(summarize(harness.shard).reservedSeats <= 188);
}

// Guards against seats that stay empty although interactive work is never late, and against headroom
// that does not come back when it is.
TEST_CASE("the headroom shrinks while interactive work is in time and returns when it is late")
{
    SeatHeadroom headroom;
    const DecodeSeats seats { .total = 100, .free = 6 };
    CHECK_FALSE(headroom.allows(seats, LatencyClass::Batch));
    CHECK(headroom.allows(seats, LatencyClass::Standard));
    for (int request = 0; request < 1'000; ++request)
        headroom.observe(false);
    CHECK(headroom.allows({ .total = 100, .free = 1 }, LatencyClass::Batch));
    headroom.observe(true);
    headroom.observe(true);
    CHECK_FALSE(headroom.allows(seats, LatencyClass::Batch));
}
