#include "ShardHarness.h"

#include "ShardState.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A prefill replica 1 and decode replicas 2 and 3.
struct PauseHarness : ShardHarness {
    explicit PauseHarness(ShardSettings settings = testSettings())
        : ShardHarness(std::move(settings))
    {
        replica(1, PoolRole::Prefill, 8);
        replica(2, PoolRole::Decode, 8);
        replica(3, PoolRole::Decode, 8);
    }

    auto pauseReplica(std::uint32_t id, Duration time) -> void { send(ReplicaPaused { ReplicaId { id }, now + time, now + time }); }

    auto finish(const StartDecode& start) -> void { send(DecodeFinished { start.request, start.attempt, 10 }); }

    /// @return the decode replicas of the prefills that the last event started.
    auto placed() const -> std::vector<ReplicaId>
    {
        std::vector<ReplicaId> replicas;
        for (const auto& action : actions) {
            if (const auto* start = std::get_if<StartPrefill>(&action))
                replicas.push_back(start->decode);
        }
        return replicas;
    }
};

constexpr ReplicaId second { 2 };
constexpr ReplicaId third { 3 };

}

// Guards against requests to a server that has asked for a pause, and against requests that wait although another
// server has room.
TEST_CASE("a paused replica gets no work, and the others get it")
{
    PauseHarness harness;
    harness.pauseReplica(2, 3600s);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        harness.arrive(id);
        REQUIRE(harness.placed().size() == 1);
        CHECK(harness.placed().front() == third);
    }
    // The other replica is full, so the next request waits.
    harness.arrive(9);
    CHECK(harness.placed().empty());
    CHECK_FALSE(harness.last<Refuse>());
    CHECK(isPaused(harness.shard, harness.now, second));
    CHECK_FALSE(isPaused(harness.shard, harness.now, third));
}

// Guards against callers that wait until their deadline although no server can serve them before it, and against a
// time to return at which they are refused again.
TEST_CASE("requests that can't be served after the pauses are refused at once with a time to return")
{
    PauseHarness harness;
    // The request waits, because all slots are taken.
    for (std::uint64_t id = 1; id <= 17; ++id)
        harness.arrive(id);
    REQUIRE_FALSE(harness.lastEver<Refuse>());
    harness.pauseReplica(2, 100s);
    CHECK_FALSE(harness.last<Refuse>());
    harness.pauseReplica(3, 90s);
    const auto waiting = harness.last<Refuse>();
    REQUIRE(waiting);
    CHECK(waiting->request == RequestId { 17 });
    CHECK(waiting->outcome == ExecutionOutcome::NotRun);
    harness.arrive(18);
    const auto refusal = harness.last<Refuse>();
    REQUIRE(refusal);
    CHECK(refusal->reason == RefusalReason::Overloaded);
    CHECK(refusal->outcome == ExecutionOutcome::NotRun);
    CHECK(refusal->retryAfter > 90s);
    CHECK(refusal->retryAfter < 150s);
    // Requests that run are not ended.
    CHECK_FALSE(harness.lastEver<CancelOnReplica>());
}

// Guards against callers that wait for the expiry of a prefill result that no engine can use in time.
TEST_CASE("a prefilled request is refused at once if no replica can decode it after the pauses")
{
    PauseHarness harness;
    harness.arrive(1);
    const auto start = harness.last<StartPrefill>().value();
    const auto pauseBoth = [&] {
        harness.pauseReplica(2, 100s);
        harness.pauseReplica(3, 90s);
    };
    const auto isPrefilledFirst = GENERATE(false, true);
    if (isPrefilledFirst) {
        // Its decode is rejected, and no other slot is free.
        harness.prefilled(start);
        const auto decode = harness.last<StartDecode>().value();
        harness.replica(decode.decode == second ? 3 : 2, PoolRole::Decode, 0);
        harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::Busy, 0 });
        REQUIRE_FALSE(harness.last<StartDecode>());
        pauseBoth();
    } else {
        pauseBoth();
        REQUIRE_FALSE(harness.last<Refuse>());
        harness.prefilled(start);
    }
    const auto refusal = harness.last<Refuse>();
    REQUIRE(refusal);
    CHECK(refusal->outcome == ExecutionOutcome::NotRun);
    CHECK(refusal->retryAfter > 90s);
    CHECK(summarize(harness.shard).reservedSlots == 0);
}

// Guards against a refusal of requests that can be served in time after the pause.
TEST_CASE("requests wait for the end of a pause that is before their deadline")
{
    PauseHarness harness;
    harness.pauseReplica(2, 10s);
    harness.pauseReplica(3, 10s);
    for (std::uint64_t id = 1; id <= 5; ++id)
        harness.arrive(id, 1);
    harness.advance(9999ms);
    CHECK_FALSE(harness.lastEver<StartPrefill>());
    CHECK_FALSE(harness.lastEver<Refuse>());
    harness.advance(1ms);
    // One request goes first to each of the two.
    CHECK(harness.placed().size() == 2);
    CHECK_FALSE(harness.lastEver<Refuse>());
}

// Guards against a whole queue that is sent to a server at the end of its pause.
TEST_CASE("after a pause one request at a time goes to the replica until one succeeds")
{
    PauseHarness harness;
    harness.replica(3, PoolRole::Decode, 8, ReplicaState::Gone);
    harness.pauseReplica(2, 1s);
    for (std::uint64_t id = 1; id <= 5; ++id)
        harness.arrive(id, 1);
    harness.advance(1s);
    REQUIRE(harness.placed().size() == 1);
    // The first attempt fails; the next request goes alone again.
    const auto failed = harness.last<StartPrefill>().value();
    harness.prefilled(failed);
    const auto rejected = harness.last<StartDecode>().value();
    harness.send(DecodeFailed { rejected.request, rejected.attempt, FailureKind::Busy, 0 });
    harness.advance(300ms);
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.count<StartPrefill>() == 0);
    CHECK_FALSE(harness.last<ReplicaReturned>());
    harness.started(*harness.last<StartDecode>());
    CHECK(harness.last<ReplicaReturned>());
    CHECK(harness.placed().size() == 4);
}

// Guards against a long stream from before the pause that counts as the first success, or that keeps the replica from
// returning until it ends.
TEST_CASE("requests from before a pause neither end it nor delay the return")
{
    PauseHarness harness;
    harness.replica(3, PoolRole::Decode, 8, ReplicaState::Gone);
    const auto before = harness.startDecode(1);
    const auto longer = harness.startDecode(2);
    harness.pauseReplica(2, 1s);
    harness.finish(before);
    CHECK_FALSE(harness.last<ReplicaReturned>());
    harness.arrive(3, 1);
    harness.arrive(4, 1);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(1s);
    CHECK(harness.placed().size() == 1);
    harness.finish(longer);
    CHECK_FALSE(harness.last<ReplicaReturned>());
    CHECK(harness.placed().empty());
}

// Guards against a decode that is sent to a paused server because its slot was reserved before.
TEST_CASE("prefills in progress get another slot instead of the one on a paused replica")
{
    PauseHarness harness;
    harness.arrive(1);
    const auto start = harness.last<StartPrefill>().value();
    const auto paused = start.decode;
    harness.send(ReplicaPaused { paused, harness.now + 10s, harness.now + 10s });
    harness.prefilled(start);
    const auto decode = harness.last<StartDecode>();
    REQUIRE(decode);
    CHECK(decode->decode != paused);
    CHECK(summarize(harness.shard).reservedSlots == 1);
}

// Guards against requests that are prefilled for decodes which no replica takes, and against capacity that is counted
// although it can't be used.
TEST_CASE("paused replicas don't count as capacity")
{
    PauseHarness harness;
    CHECK(summarize(harness.shard).freeMemoryBlocks == 2'000);
    harness.pauseReplica(2, 10s);
    CHECK(summarize(harness.shard).freeMemoryBlocks == 1'000);
    harness.advance(10s);
    CHECK(summarize(harness.shard).freeMemoryBlocks == 2'000);
    // Without a prefill replica that takes work, no decode slot helps.
    harness.pauseReplica(1, 100s);
    harness.arrive(1);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->retryAfter > 100s);
}

// Guards against a service that refuses large prompts for good, because its large server is paused.
TEST_CASE("a request that only a paused replica can hold is not too large")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 8);
    harness.replica(2, PoolRole::Decode, 8);
    harness.send(ReplicaPaused { ReplicaId { 2 }, harness.now + 100s, harness.now + 100s });
    harness.arrive(1, 0, 0, 100'000);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->reason == RefusalReason::Overloaded);
}

// Guards against a pause that starts again, or ends, when the list of servers is read again.
TEST_CASE("a pause that is reported again changes nothing")
{
    PauseHarness harness;
    harness.replica(3, PoolRole::Decode, 8, ReplicaState::Gone);
    const ReplicaPaused paused { second, harness.now + 1s, harness.now + 1s };
    harness.send(paused);
    harness.replica(2, PoolRole::Decode, 8);
    harness.arrive(1, 1);
    harness.arrive(2, 1);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(1s);
    harness.prefilled(*harness.last<StartPrefill>());
    harness.started(*harness.last<StartDecode>());
    harness.send(paused);
    harness.arrive(3, 1);
    CHECK(harness.last<StartPrefill>());
    // A shorter pause, as from a response that was under way, ends none.
    harness.pauseReplica(2, 10s);
    harness.pauseReplica(2, 1s);
    harness.advance(5s);
    harness.arrive(4, 1);
    CHECK_FALSE(harness.last<StartPrefill>());
}

// Guards against a second request within a long time that a server has asked for.
TEST_CASE("within the time that a replica asked for, only one request goes there unless it succeeds")
{
    PauseHarness harness;
    harness.replica(3, PoolRole::Decode, 8, ReplicaState::Gone);
    harness.send(ReplicaPaused { second, harness.now + 10s, harness.now + 100s });
    harness.arrive(1, 2);
    harness.arrive(2, 2);
    harness.advance(10s);
    REQUIRE(harness.placed().size() == 1);
    const auto first = harness.last<StartPrefill>().value();
    const auto isSuccess = GENERATE(false, true);
    harness.prefilled(first);
    const auto decode = harness.last<StartDecode>().value();
    if (isSuccess) {
        harness.started(decode);
        CHECK(harness.last<StartPrefill>());
        return;
    }
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ServerError, 0 });
    harness.advance(80s);
    CHECK(isPaused(harness.shard, harness.now, second));
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(10s);
    CHECK(harness.last<StartPrefill>());
}

// Guards against a call that is sent again to a server which has asked for a pause since.
TEST_CASE("a call to a paused replica is not sent again")
{
    PauseHarness harness;
    harness.arrive(1);
    CHECK(tryConsumeRetry(harness.shard, harness.now, second));
    harness.pauseReplica(2, 10s);
    CHECK_FALSE(tryConsumeRetry(harness.shard, harness.now, second));
    CHECK(tryConsumeRetry(harness.shard, harness.now + 10s, second));
}

// Guards against requests that are lost or refused because calls to a paused server were held back.
TEST_CASE("a call that was not sent because of a pause costs no retry and is placed elsewhere")
{
    auto settings = testSettings();
    settings.retry = { .ratio = 0.2, .burst = 6, .isShared = false, .countsRejections = true };
    PauseHarness harness(std::move(settings));
    harness.arrive(1);
    const auto start = harness.last<StartPrefill>().value();
    harness.prefilled(start);
    const auto decode = harness.last<StartDecode>().value();
    const auto retries = retryBudget(harness.shard).remaining();
    harness.send(ReplicaPaused { decode.decode, harness.now + 10s, harness.now + 10s });
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::Paused, 0 });
    const auto next = harness.last<StartDecode>();
    REQUIRE(next);
    CHECK(next->decode != decode.decode);
    CHECK(retryBudget(harness.shard).remaining() == retries);
}

// Guards against requests to a paused engine, and beyond the limit that it has named, after it has changed its role.
TEST_CASE("a pause and a limit hold in the new role of a replica")
{
    PauseHarness harness;
    const auto running = harness.startDecode(1);
    const auto id = static_cast<std::uint32_t>(running.decode);
    harness.send(ReplicaLimited { running.decode, CallRate { 1.0, 1.0 } });
    harness.pauseReplica(id, 3600s);
    harness.replica(id, PoolRole::Prefill, 8);
    harness.finish(running);
    CHECK(isPaused(harness.shard, harness.now, running.decode));
    // The other prefill replica leaves.
    harness.replica(1, PoolRole::Prefill, 8, ReplicaState::Leaving);
    harness.arrive(2);
    const auto start = harness.last<StartPrefill>();
    CHECK_FALSE((start && start->prefill == running.decode));
    CHECK(harness.shard.state->replicas.at(running.decode).allowance);
}
