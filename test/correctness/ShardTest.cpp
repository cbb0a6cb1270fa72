#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto withReplicas() -> ShardHarness
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    return harness;
}

}

// Guards against a request that gets stuck between two phases, or that leaves reservations behind.
TEST_CASE("a request is prefilled, decoded and finished")
{
    auto harness = withReplicas();
    harness.arrive(1);
    const auto prefill = harness.last<StartPrefill>();
    REQUIRE(prefill);
    CHECK(prefill->decode == ReplicaId { 2 });
    harness.prefilled(*prefill);
    const auto decode = harness.last<StartDecode>();
    REQUIRE(decode);
    CHECK(decode->resumeFrom == 0);
    harness.started(*decode);
    harness.send(DecodeFinished { decode->request, decode->attempt, 10 });
    const auto summary = summarize(harness.shard);
    CHECK(summary.finished == 1);
    CHECK(summary.reservedSlots == 0);
    CHECK(summary.reservedMemoryBlocks == 0);
}

// Guards against a stream that repeats or skips tokens after its engine crashed.
TEST_CASE("an interrupted stream resumes at the next token")
{
    auto harness = withReplicas();
    harness.replica(3, PoolRole::Decode, 4);
    harness.arrive(1);
    harness.prefilled(*harness.last<StartPrefill>());
    const auto first = *harness.last<StartDecode>();
    harness.started(first);
    harness.send(DecodeFailed { first.request, first.attempt, FailureKind::ConnectionLost, 7 });
    harness.prefilled(*harness.last<StartPrefill>());
    const auto second = harness.last<StartDecode>();
    REQUIRE(second);
    CHECK(second->resumeFrom == 7);
    CHECK(second->decode != first.decode);
}

// Guards against work that continues on the engines after the caller has disconnected.
TEST_CASE("a cancelled request is cancelled on its engines")
{
    auto harness = withReplicas();
    harness.arrive(1);
    const auto prefill = *harness.last<StartPrefill>();
    harness.send(RequestCancelled { RequestId { 1 } });
    REQUIRE(harness.last<CancelOnReplica>());
    CHECK(harness.last<CancelOnReplica>()->replica == prefill.prefill);
    CHECK(summarize(harness.shard).reservedSlots == 0);
}

// Guards against callers that wait for an answer although there is no backend server.
TEST_CASE("without backend servers a request is refused as not run")
{
    ShardHarness harness;
    harness.arrive(1);
    const auto refusal = harness.last<Refuse>();
    REQUIRE(refusal);
    CHECK(refusal->reason == RefusalReason::NoBackend);
    CHECK(refusal->outcome == ExecutionOutcome::NotRun);
    CHECK(refusal->retryAfter > Duration::zero());
}
