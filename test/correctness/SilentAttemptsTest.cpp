#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// @return settings in which requests of kind 0 may be repeated.
auto settingsFor(std::int64_t maxAttempts, RetryPolicy retry = {}) -> ShardSettings
{
    auto settings = testSettings();
    settings.kinds[0].repeatable = true;
    settings.kinds[0].maxAttempts = maxAttempts;
    settings.retry = retry;
    return settings;
}

/// A request that decodes on the only decode replica with one slot.
struct Decoding {
    explicit Decoding(ShardSettings settings)
        : harness(std::move(settings))
    {
        harness.replica(1, PoolRole::Prefill, 4);
        harness.replica(2, PoolRole::Decode, 1);
        harness.arrive(1);
        harness.prefilled(*harness.last<StartPrefill>());
        attempt = *harness.last<StartDecode>();
    }

    auto start() -> void { harness.started(attempt); }
    auto beSilent(Duration time, std::uint32_t tokens = 0) -> void
    {
        harness.advance(time);
        harness.send(AttemptSilent { attempt.request, attempt.attempt, tokens });
    }
    auto isRunning() const -> bool { return !harness.lastEver<Refuse>() && !harness.lastEver<CancelOnReplica>(); }

    ShardHarness harness;
    StartDecode attempt {};
};

}

// Guards against a request that ends without an answer because its engine paused and no other attempt was
// possible: no engine with room, no attempt left, no retry in the budget, or a request that may run only once.
TEST_CASE("the silence of an engine does not end the last possible attempt")
{
    const auto hasStarted = GENERATE(false, true);
    auto settings = settingsFor(3);
    auto hasSecondEngine = true;
    SECTION("no other engine has room") { hasSecondEngine = false; }
    SECTION("no attempt is left") { settings = settingsFor(1); }
    SECTION("the retry budget is empty") { settings = settingsFor(3, { .ratio = 0, .burst = 0 }); }
    SECTION("the request may run only once") { settings.kinds[0].repeatable = false; }
    Decoding decoding(std::move(settings));
    if (hasSecondEngine)
        decoding.harness.replica(3, PoolRole::Decode, 1);
    if (hasStarted)
        decoding.start();
    for (int check = 0; check < 10; ++check)
        decoding.beSilent(1s);
    CHECK(decoding.isRunning());
    decoding.harness.send(DecodeFinished { decoding.attempt.request, decoding.attempt.attempt, 20 });
    CHECK(summarize(decoding.harness.shard).finished == 1);
}

// Guards against a silent attempt that ends before its replacement holds a slot.
TEST_CASE("a silent attempt goes on until its replacement holds a slot")
{
    auto settings = settingsFor(3);
    settings.reservesSlots = true;
    Decoding decoding(std::move(settings));
    decoding.harness.send(SlotReserved { decoding.attempt.request, decoding.attempt.attempt });
    decoding.harness.replica(3, PoolRole::Decode, 1);
    decoding.start();
    for (int check = 0; check < 10; ++check)
        decoding.beSilent(1s);
    CHECK(decoding.isRunning());
    CHECK(decoding.harness.count<StartPrefill>() == 0);
}

// Guards against a request that waits for a hung engine although another one could answer.
TEST_CASE("a silent engine is replaced when another one has room")
{
    Decoding decoding(settingsFor(3));
    decoding.start();
    decoding.beSilent(2s);
    CHECK(decoding.isRunning());
    decoding.harness.replica(3, PoolRole::Decode, 1);
    decoding.beSilent(1s);
    REQUIRE(decoding.harness.last<CancelOnReplica>());
    CHECK(decoding.harness.last<CancelOnReplica>()->replica == ReplicaId { 2 });
    REQUIRE(decoding.harness.last<StartPrefill>());
    CHECK(decoding.harness.last<StartPrefill>()->decode == ReplicaId { 3 });
    CHECK_FALSE(decoding.harness.lastEver<Refuse>());
}

// Guards against a silent attempt that is given up for room that a waiting request has taken.
TEST_CASE("a silent attempt is replaced only with room that waiting requests leave")
{
    Decoding decoding(settingsFor(3));
    decoding.harness.arrive(2);
    decoding.harness.arrive(3);
    decoding.beSilent(2s);
    CHECK(decoding.isRunning());
    decoding.harness.replica(3, PoolRole::Decode, 1);
    REQUIRE(decoding.harness.last<StartPrefill>());
    const auto taken = decoding.harness.last<StartPrefill>()->request;
    CHECK(taken == RequestId { 2 });
    // The room was given to a waiting request, so the silent attempt goes on.
    decoding.beSilent(1s);
    CHECK_FALSE(decoding.harness.last<CancelOnReplica>());
    decoding.harness.replica(4, PoolRole::Decode, 2);
    decoding.beSilent(1s);
    const auto start = decoding.harness.last<StartPrefill>();
    REQUIRE(start);
    CHECK(start->request == RequestId { 1 });
}

// Guards against a prefill that is given up although no other prefill replica exists.
TEST_CASE("a silent prefill goes on if no other engine can run it")
{
    ShardHarness harness(settingsFor(3));
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 2);
    harness.arrive(1);
    const auto attempt = *harness.last<StartPrefill>();
    for (int check = 0; check < 30; ++check) {
        harness.advance(1s);
        harness.send(AttemptSilent { attempt.request, attempt.attempt, 0 });
    }
    CHECK_FALSE(harness.lastEver<Refuse>());
    CHECK_FALSE(harness.lastEver<CancelOnReplica>());
    harness.replica(3, PoolRole::Prefill, 4);
    harness.send(AttemptSilent { attempt.request, attempt.attempt, 0 });
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->prefill == ReplicaId { 3 });
}

// Guards against a request that outlives its deadline because its engine never answers.
TEST_CASE("a request whose engine stays silent is answered at its deadline")
{
    Decoding decoding(settingsFor(3));
    decoding.start();
    for (int second = 0; second < 59; ++second)
        decoding.beSilent(1s);
    CHECK(decoding.isRunning());
    decoding.harness.advance(1s);
    REQUIRE(decoding.harness.last<Refuse>());
    CHECK(decoding.harness.last<Refuse>()->reason == RefusalReason::DeadlineExceeded);
    CHECK(decoding.harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
}

// Guards against a replica that is ejected for one silent attempt that is reported repeatedly.
TEST_CASE("repeated reports of one silent attempt count as one failure of the replica")
{
    Decoding decoding(settingsFor(1));
    decoding.harness.replica(2, PoolRole::Decode, 4);
    for (int check = 0; check < 10; ++check)
        decoding.beSilent(100ms);
    decoding.harness.arrive(2);
    CHECK(decoding.harness.last<StartPrefill>());
}

// Guards against an engine that gets no new requests for as long as the answers last that it resumed after a pause.
TEST_CASE("an engine that goes on after a pause gets new requests")
{
    ShardHarness harness(settingsFor(3));
    harness.replica(1, PoolRole::Prefill, 8);
    harness.replica(2, PoolRole::Decode, 8);
    std::vector<StartDecode> attempts;
    for (std::uint64_t request = 1; request <= 4; ++request)
        attempts.push_back(harness.startDecode(request));
    harness.advance(1500ms);
    for (const auto& attempt : attempts)
        harness.send(AttemptSilent { attempt.request, attempt.attempt, 1 });
    CHECK_FALSE(harness.lastEver<CancelOnReplica>());
    for (const auto& attempt : attempts)
        harness.send(TokensEmitted { attempt.request, attempt.attempt, 2 });
    harness.arrive(5);
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->request == RequestId { 5 });
}

// Guards against a caller that leaves without an answer or a refusal, because its engine is silent for longer than
// the caller waits for a first token.
TEST_CASE("a request without a token is refused before its caller's idle timeout")
{
    auto settings = settingsFor(3);
    settings.kinds[0].callerIdleTimeout = 4s;
    Decoding decoding(std::move(settings));
    auto& harness = decoding.harness;
    const auto endsWithToken = GENERATE(false, true);
    for (int second = 1; second < 4; ++second)
        decoding.beSilent(1s);
    CHECK(decoding.isRunning());
    if (endsWithToken)
        decoding.start();
    harness.advance(900ms);
    REQUIRE(harness.lastEver<Refuse>().has_value() == !endsWithToken);
    if (endsWithToken) {
        harness.advance(20s);
        CHECK_FALSE(harness.lastEver<Refuse>());
        return;
    }
    CHECK(harness.lastEver<Refuse>()->outcome == ExecutionOutcome::Unknown);
}
