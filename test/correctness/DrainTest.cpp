#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr auto drainTime = 4s;

/// A shard with one prefill replica and one decode replica with one slot, which request 1 occupies.
struct BusyShard : ShardHarness {
    BusyShard()
    {
        replica(1, PoolRole::Prefill, 4);
        replica(2, PoolRole::Decode, 1);
        startDecode(1);
    }

    auto startDraining(Duration time) -> void { send(DrainStarted { .endsAt = now + time, .refusesNewRequests = false }); }

    /// @return the only refusal of the request since the start.
    auto refusalOf(std::uint64_t id) const -> std::optional<Refuse>
    {
        std::optional<Refuse> found;
        for (const auto& action : all) {
            const auto* refusal = std::get_if<Refuse>(&action);
            if (!refusal || refusal->request != RequestId { id })
                continue;
            CHECK_FALSE(found);
            found = *refusal;
        }
        return found;
    }

    auto checkRefused(std::uint64_t id, ExecutionOutcome outcome) const -> void
    {
        const auto refusal = refusalOf(id);
        REQUIRE(refusal);
        CHECK(refusal->reason == RefusalReason::Draining);
        CHECK(refusal->outcome == outcome);
        CHECK(refusal->retryAfter > Duration::zero());
    }
};

}

// Guards against a request that waits for capacity when its instance exits and gets neither an answer nor a
// refusal, and against a request that is refused as not run although its decode was running.
TEST_CASE("the end of a drain refuses waiting requests as not run and ends running ones with an unknown outcome")
{
    BusyShard shard;
    shard.arrive(2, 2);
    CHECK_FALSE(shard.refusalOf(2));
    shard.startDraining(drainTime);
    CHECK_FALSE(shard.refusalOf(1));
    shard.advance(drainTime);
    shard.checkRefused(2, ExecutionOutcome::NotRun);
    shard.checkRefused(1, ExecutionOutcome::Unknown);
    CHECK(summarize(shard.shard).reservedSlots == 0);
}

// Guards against a request that is held although the instance exits before the request can be served.
TEST_CASE("a waiting request that can't be served before the end of a drain is refused at once")
{
    BusyShard shard;
    shard.arrive(2, 2);
    shard.startDraining(1ms);
    shard.checkRefused(2, ExecutionOutcome::NotRun);
    CHECK_FALSE(shard.refusalOf(1));
    shard.arrive(3, 2);
    shard.checkRefused(3, ExecutionOutcome::NotRun);
}

// Guards against a request that waits after a decode replica refused it a slot, and gets no answer at the end of a
// drain.
TEST_CASE("a request whose slot was refused is refused as not run at the end of a drain")
{
    BusyShard shard;
    shard.replica(3, PoolRole::Decode, 1);
    shard.arrive(2, 2);
    const auto placed = shard.last<StartPrefill>();
    REQUIRE(placed);
    shard.replica(3, PoolRole::Decode, 1, ReplicaState::Gone);
    shard.send(SlotRefused { placed->request, placed->attempt, FailureKind::Busy });
    CHECK_FALSE(shard.refusalOf(2));
    shard.startDraining(drainTime);
    shard.advance(drainTime);
    shard.checkRefused(2, ExecutionOutcome::NotRun);
}

// Guards against an interrupted stream that waits to resume when its instance exits, and against one that is
// reported as not run.
TEST_CASE("a stream that waits to resume ends with an unknown outcome at the end of a drain")
{
    BusyShard shard;
    const auto running = *shard.lastEver<StartDecode>();
    shard.send(TokensEmitted { running.request, running.attempt, 5 });
    shard.replica(2, PoolRole::Decode, 1, ReplicaState::Gone);
    shard.replica(3, PoolRole::Decode, 1);
    shard.arrive(2);
    shard.send(DecodeFailed { running.request, running.attempt, FailureKind::ConnectionLost, 5 });
    shard.startDraining(drainTime);
    shard.advance(drainTime);
    shard.checkRefused(1, ExecutionOutcome::Unknown);
}

// Guards against a drain that keeps requests from finishing, and against one that hides a missed deadline.
TEST_CASE("requests are served during a drain, and an earlier deadline ends them first")
{
    BusyShard shard;
    shard.startDraining(600s);
    const auto running = *shard.lastEver<StartDecode>();
    shard.send(DecodeFinished { running.request, running.attempt, 10 });
    CHECK(summarize(shard.shard).finished == 1);
    shard.startDecode(2);
    for (auto second = 0; second < 60; ++second) {
        const auto decode = *shard.lastEver<StartDecode>();
        shard.send(TokensEmitted { decode.request, decode.attempt, static_cast<std::uint32_t>(second + 1) });
        shard.advance(1s);
    }
    REQUIRE(shard.refusalOf(2));
    CHECK(shard.refusalOf(2)->reason == RefusalReason::DeadlineExceeded);
}

// Guards against a request that starts during a drain although it can't be expected to end with it, also when nothing
// else runs: its prefill is wasted, or its answer is cut.
TEST_CASE("a request that arrives during a drain starts only if its answer is expected to end in time")
{
    constexpr auto answers = 20U;
    // The caller's limit of 200 tokens takes 5 s at the initial rate.
    const bool isShort = GENERATE(false, true);
    const auto time = GENERATE(Duration(4s), Duration(6s));
    CAPTURE(isShort, time.count());
    BusyShard shard;
    const auto finish = [&](const StartDecode& decode) { shard.send(DecodeFinished { decode.request, decode.attempt, 10 }); };
    finish(*shard.lastEver<StartDecode>());
    for (std::uint64_t id = 2; isShort && id <= answers; ++id)
        finish(shard.startDecode(id));
    shard.startDraining(time);
    constexpr std::uint64_t late = 100;
    shard.arrive(late);
    if (isShort || time > 5s) {
        CHECK(shard.last<StartPrefill>());
        CHECK_FALSE(shard.refusalOf(late));
    } else {
        CHECK_FALSE(shard.last<StartPrefill>());
        shard.checkRefused(late, ExecutionOutcome::NotRun);
    }
}
