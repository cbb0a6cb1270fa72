#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint32_t decodeSlots = 4;

auto sharedBy(std::uint32_t instances) -> ShardHarness
{
    auto settings = testSettings();
    settings.instanceCount = instances;
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

// Guards against engine memory that stays reserved for requests that no longer exist.
TEST_CASE("an unknown request for which an engine holds memory is cancelled there")
{
    auto harness = sharedBy(1);
    harness.arrive(1);
    harness.prefilled(*harness.last<StartPrefill>());
    harness.send(report(harness, 1, 0ms, 2, { RequestId { 1 }, RequestId { 77 } }));
    REQUIRE(harness.count<CancelOnReplica>() == 1);
    CHECK(harness.last<CancelOnReplica>()->request == RequestId { 77 });
    CHECK(harness.last<CancelOnReplica>()->replica == ReplicaId { 2 });
}

// Guards against adding an outdated report to the shard's own usage.
TEST_CASE("the own usage in a lagging report is not counted twice")
{
    auto harness = sharedBy(2);
    harness.arrive(1);
    harness.prefilled(*harness.last<StartPrefill>());
    harness.started(*harness.last<StartDecode>());
    harness.now += 500ms;
    harness.send(report(harness, 1, 100ms, 2));
    // The shard uses one slot itself and peers use one. Its share of the two free slots is one.
    CHECK(startMany(harness, 10, 4) == 1);
}

// Guards against instances that together overload a replica between two of its reports.
TEST_CASE("free slots are shared among the instances")
{
    auto harness = sharedBy(4);
    harness.send(report(harness, 1, 10ms, 0));
    CHECK(startMany(harness, 10, 4) == 1);
    harness.now += 100ms;
    harness.send(report(harness, 2, 10ms, decodeSlots));
    CHECK(startMany(harness, 20, 4) == 0);
}

// Guards against a replica that gets no more work after its reports stop.
TEST_CASE("the slot allowance of the last report expires")
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
