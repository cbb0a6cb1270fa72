#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr CallRate onePerSecond { .perSecond = 1, .capacity = 1, .initial = 1 };

/// One prefill and one decode replica, of which the decode replica is limited.
struct LimitedHarness : ShardHarness {
    explicit LimitedHarness(ShardSettings settings = testSettings())
        : ShardHarness(std::move(settings))
    {
        replica(1, PoolRole::Prefill, 8);
        replica(2, PoolRole::Decode, 8);
        send(ReplicaLimited { ReplicaId { 2 }, onePerSecond });
    }
};

}

// Guards against decodes beyond the limit that a replica names.
TEST_CASE("a limited replica gets one decode for each call that it takes")
{
    LimitedHarness harness;
    harness.arrive(1);
    REQUIRE(harness.last<StartPrefill>());
    harness.arrive(2);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(500ms);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(600ms);
    CHECK(harness.last<StartPrefill>()->request == RequestId { 2 });
    harness.arrive(3);
    CHECK_FALSE(harness.last<StartPrefill>());
    // Without a limit, the waiting request starts at once.
    harness.send(ReplicaLimited { ReplicaId { 2 }, std::nullopt });
    CHECK(harness.last<StartPrefill>()->request == RequestId { 3 });
}

// Guards against requests that wait although a replica without a limit has room.
TEST_CASE("other replicas get what a limited one does not take")
{
    LimitedHarness harness;
    harness.replica(3, PoolRole::Decode, 8);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        harness.arrive(id);
        CHECK(harness.last<StartPrefill>());
    }
}

// Guards against a limit that is used up by slot reservations which the replica refuses.
TEST_CASE("a refused slot does not use up the limit")
{
    auto settings = testSettings();
    settings.reservesSlots = true;
    settings.instanceCount = 2;
    LimitedHarness harness(std::move(settings));
    harness.arrive(1);
    const auto start = harness.last<StartPrefill>().value();
    harness.send(SlotRefused { start.request, start.attempt, FailureKind::Busy });
    harness.advance(300ms);
    CHECK(harness.last<StartPrefill>());
}

// Guards against a resent call that a limited replica does not take.
TEST_CASE("a call is resent only if the replica takes it")
{
    LimitedHarness harness;
    harness.arrive(1);
    CHECK_FALSE(tryConsumeRetry(harness.shard, harness.now, ReplicaId { 2 }));
    CHECK(tryConsumeRetry(harness.shard, harness.now, ReplicaId { 1 }));
    CHECK(tryConsumeRetry(harness.shard, harness.now + 2s, ReplicaId { 2 }));
}
