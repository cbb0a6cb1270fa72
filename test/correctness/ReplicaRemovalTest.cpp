#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// One request that runs on the only decode replica; its kind may run only once.
struct Running {
    Running()
        : harness(settings())
    {
        harness.replica(1, PoolRole::Prefill, 4);
        harness.replica(2, PoolRole::Decode, 4);
        attempt = harness.startDecode(1);
        harness.send(TokensEmitted { attempt.request, attempt.attempt, 5 });
    }

    static auto settings() -> ShardSettings
    {
        auto settings = testSettings();
        settings.kinds[0].repeatable = false;
        return settings;
    }

    auto isUndisturbed() const -> bool { return !harness.lastEver<CancelOnReplica>() && !harness.lastEver<Refuse>(); }
    auto finish() -> void { harness.send(DecodeFinished { attempt.request, attempt.attempt, 20 }); }

    ShardHarness harness;
    StartDecode attempt {};
};

}

// Guards against an answer that is cut although its engine completes running work before it changes its role.
TEST_CASE("a decode goes on when the role of its replica changes")
{
    Running running;
    auto& harness = running.harness;
    harness.replica(2, PoolRole::Prefill, 4);
    harness.advance(1s);
    CHECK(running.isUndisturbed());
    running.finish();
    CHECK(summarize(harness.shard).finished == 1);
    CHECK(running.isUndisturbed());
}

// Guards against a request that is placed on a replica in the role that it has left, and against a replica that is
// used in its new role while answers of the former one still run.
TEST_CASE("a replica gets work of its new role when the last request of the former one has ended")
{
    Running running;
    auto& harness = running.harness;
    harness.replica(3, PoolRole::Decode, 4);
    harness.replica(2, PoolRole::Prefill, 4);
    CHECK(summarize(harness.shard).liveReplicas == 2);
    harness.arrive(2);
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->prefill == ReplicaId { 1 });
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 3 });
    running.finish();
    CHECK(summarize(harness.shard).liveReplicas == 3);
    harness.replica(1, PoolRole::Prefill, 4, ReplicaState::Leaving);
    harness.arrive(3);
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->prefill == ReplicaId { 2 });
}

// Guards against a prefill that is repeated because its replica changes its role, which keeps its results.
TEST_CASE("a prefill and its result stay usable when the role of the replica changes")
{
    ShardHarness harness(Running::settings());
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    harness.arrive(1);
    const auto prefill = *harness.last<StartPrefill>();
    harness.replica(1, PoolRole::Decode, 4);
    CHECK(harness.actions.empty());
    harness.prefilled(prefill);
    const auto decode = harness.last<StartDecode>();
    REQUIRE(decode);
    CHECK(decode->prefill == ReplicaId { 1 });
    CHECK(decode->decode == ReplicaId { 2 });
    CHECK_FALSE(harness.lastEver<CancelOnReplica>());
    // The result has been fetched, so the replica is free for its new role.
    harness.started(*decode);
    CHECK(summarize(harness.shard).freeMemoryBlocks == 2 * 1'000 - 1);
}

// Guards against a replica that is never used again after it has changed its role twice.
TEST_CASE("a replica that returns to its role before its requests have ended gets new work at once")
{
    Running running;
    auto& harness = running.harness;
    harness.replica(2, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    harness.arrive(2);
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 2 });
    running.finish();
    CHECK(running.isUndisturbed());
    CHECK(summarize(harness.shard).liveReplicas == 2);
}

// Guards against an answer that is cut when the entry of its replica disappears, although a replica that leaves
// completes what it runs.
TEST_CASE("a decode goes on when its leaving replica is removed")
{
    Running running;
    auto& harness = running.harness;
    harness.replica(3, PoolRole::Decode, 4);
    harness.replica(2, PoolRole::Decode, 4, ReplicaState::Leaving);
    harness.replica(2, PoolRole::Decode, 4, ReplicaState::Gone);
    harness.advance(1s);
    CHECK(running.isUndisturbed());
    harness.arrive(2);
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 3 });
    running.finish();
    CHECK(summarize(harness.shard).finished == 1);
    CHECK(running.isUndisturbed());
}

// Guards against a request that is suspected of a crash, because its replica closed the connection when it had left.
TEST_CASE("the end of a replica that has left is not a crash")
{
    auto settings = testSettings();
    settings.instanceCount = 2;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    const auto attempt = harness.startDecode(1);
    harness.replica(3, PoolRole::Decode, 4);
    harness.replica(2, PoolRole::Decode, 4, ReplicaState::Leaving);
    harness.replica(2, PoolRole::Decode, 4, ReplicaState::Gone);
    harness.send(DecodeFailed { attempt.request, attempt.attempt, FailureKind::ConnectionLost, 5 });
    CHECK_FALSE(harness.lastEver<ReportCrash>());
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 3 });
}

// Guards against a prefill that is cut and repeated when the entry of its leaving replica disappears.
TEST_CASE("a prefill goes on when its leaving replica is removed")
{
    ShardHarness harness(Running::settings());
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    harness.arrive(1);
    const auto prefill = *harness.last<StartPrefill>();
    harness.replica(1, PoolRole::Prefill, 4, ReplicaState::Leaving);
    harness.replica(1, PoolRole::Prefill, 4, ReplicaState::Gone);
    CHECK(harness.actions.empty());
    harness.prefilled(prefill);
    CHECK(harness.last<StartDecode>());
    CHECK_FALSE(harness.lastEver<CancelOnReplica>());
}

// Guards against a crash that is not counted because the list shows the new process of the engine before the prefill's
// connection is lost, so that the request crashes engine after engine.
TEST_CASE("a prefill on a replica that is gone is recorded as a crash")
{
    auto settings = testSettings();
    settings.instanceCount = 2;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    harness.arrive(1);
    REQUIRE(harness.last<StartPrefill>());
    harness.replica(1, PoolRole::Prefill, 4, ReplicaState::Gone);
    REQUIRE(harness.last<ReportCrash>());
    CHECK(harness.last<ReportCrash>()->replica == ReplicaId { 1 });
}
