#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint32_t decodeSlots = 4;

auto sharedBy(std::uint32_t instances) -> ShardHarness
{
    auto settings = testSettings();
    settings.sharingInstances = instances;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(2, PoolRole::Decode, decodeSlots);
    return harness;
}

auto report(const ShardHarness& harness, std::uint64_t sequence, Duration lag, std::uint32_t running, std::vector<RequestId> held = {}) -> ReplicaLoad
{
    return { ReplicaId { 2 }, sequence, harness.now - lag, running, 0, 1'000, std::move(held) };
}

auto startMany(ShardHarness& harness, std::uint64_t first, std::uint64_t count) -> std::size_t
{
    std::size_t started = 0;
    for (std::uint64_t id = first; id < first + count; ++id) {
        harness.arrive(id);
        started += harness.count<StartPrefill>();
    }
    return started;
}

}

// Guards against engine memory that stays held for requests that are gone.
TEST_CASE("what an engine holds for an unknown request is cancelled there")
{
    auto harness = sharedBy(1);
    harness.arrive(1);
    harness.prefilled(*harness.last<StartPrefill>());
    harness.send(report(harness, 1, 0ms, 2, { RequestId { 1 }, RequestId { 77 } }));
    REQUIRE(harness.count<CancelOnReplica>() == 1);
    CHECK(harness.last<CancelOnReplica>()->request == RequestId { 77 });
    CHECK(harness.last<CancelOnReplica>()->replica == ReplicaId { 2 });
}

// Guards against a report that is out of date being counted on top of the shard's own work.
TEST_CASE("a lagging report counts what this instance ran at its time only once")
{
    auto harness = sharedBy(2);
    harness.arrive(1);
    harness.prefilled(*harness.last<StartPrefill>());
    harness.started(*harness.last<StartDecode>());
    harness.now += 500ms;
    harness.send(report(harness, 1, 100ms, 2));
    // One seat is the shard's own, one is of others; of the two that are left, one is its share.
    CHECK(startMany(harness, 10, 4) == 1);
}

// Guards against instances that together overrun a replica between two of its reports.
TEST_CASE("free seats are shared among the instances")
{
    auto harness = sharedBy(4);
    harness.send(report(harness, 1, 10ms, 0));
    CHECK(startMany(harness, 10, 4) == 1);
    harness.now += 100ms;
    harness.send(report(harness, 2, 10ms, decodeSlots));
    CHECK(startMany(harness, 20, 4) == 0);
}

// Guards against a replica that stays without work after its reports stop.
TEST_CASE("the share of the last report expires")
{
    auto harness = sharedBy(4);
    harness.send(report(harness, 1, 10ms, decodeSlots));
    harness.arrive(1, 2);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(2s);
    CHECK(harness.last<StartPrefill>());
}

// Guards against an old report that overwrites a newer one.
TEST_CASE("a report with an old sequence number is ignored")
{
    auto harness = sharedBy(2);
    harness.send(report(harness, 5, 10ms, decodeSlots));
    harness.send(report(harness, 4, 10ms, 0));
    CHECK(startMany(harness, 10, 4) == 0);
}
