#include "ShardHarness.h"
#include "ShardState.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// @return settings in which requests of kind 0 may be repeated, with a budget of one retry.
auto oneRetry(double ratio) -> ShardSettings
{
    auto settings = testSettings();
    settings.kinds[0].repeatable = true;
    settings.kinds[0].maxAttempts = 3;
    settings.retry = { .ratio = ratio, .burst = 1 };
    return settings;
}

/// Brings a request to its decode after a prefill of 400 ms.
auto startAfterPrefill(ShardHarness& harness, std::uint64_t id) -> StartDecode
{
    harness.arrive(id);
    const auto prefill = harness.last<StartPrefill>().value();
    harness.now += 400ms;
    harness.prefilled(prefill);
    const auto decode = harness.last<StartDecode>().value();
    harness.started(decode);
    return decode;
}

/// A request whose decode has failed after some tokens. The failure has taken the only retry, and another prefill
/// needs one more.
struct Interrupted {
    explicit Interrupted(ShardSettings settings, std::uint32_t tokens = 5)
        : harness(std::move(settings))
    {
        harness.replica(1, PoolRole::Prefill, 8);
        harness.replica(2, PoolRole::Decode, 1);
        harness.arrive(1);
        harness.prefilled(*harness.last<StartPrefill>());
        const auto attempt = *harness.last<StartDecode>();
        harness.replica(3, PoolRole::Decode, 20);
        harness.advance(500ms);
        harness.send(DecodeFailed { attempt.request, attempt.attempt, FailureKind::ServerError, tokens });
    }

    ShardHarness harness;
};

}

// Guards against a stream that is cut because the retry budget lacks a retry at the moment of the next start, although
// new requests earn one soon.
TEST_CASE("an interrupted request waits until the retry budget allows its start")
{
    const auto tokens = GENERATE(0U, 5U);
    Interrupted interrupted(oneRetry(0.2), tokens);
    auto& harness = interrupted.harness;
    CHECK_FALSE(harness.lastEver<Refuse>());
    CHECK_FALSE(harness.last<StartPrefill>());
    for (std::uint64_t request = 2; request <= 5; ++request) {
        harness.arrive(request);
        // Other requests start meanwhile.
        REQUIRE(harness.last<StartPrefill>());
        CHECK(harness.last<StartPrefill>()->request == RequestId { request });
    }
    harness.arrive(6);
    harness.arrive(7);
    const auto isInterrupted = [](const DecisionAction& action) {
        const auto* start = std::get_if<StartPrefill>(&action);
        return start && start->request == RequestId { 1 } && start->attempt > 1;
    };
    CHECK(std::ranges::count_if(harness.all, isInterrupted) == 1);
    CHECK_FALSE(harness.lastEver<Refuse>());
}

// Guards against a request that waits for the retry budget beyond its deadline.
TEST_CASE("an interrupted request that gets no retry is refused at its deadline")
{
    Interrupted interrupted(oneRetry(0));
    auto& harness = interrupted.harness;
    harness.advance(59s);
    CHECK_FALSE(harness.lastEver<Refuse>());
    harness.advance(1s);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->reason == RefusalReason::RetriesExhausted);
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
}

// Guards against a caller that leaves without an answer while its request waits for the retry budget.
TEST_CASE("an interrupted request without a token is refused before its caller's idle timeout")
{
    auto settings = oneRetry(0);
    settings.kinds[0].callerIdleTimeout = 4s;
    Interrupted interrupted(std::move(settings), 0);
    auto& harness = interrupted.harness;
    harness.advance(3s);
    CHECK_FALSE(harness.lastEver<Refuse>());
    harness.advance(300ms);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
}

// Guards against other requests that are refused for a wait that only the retry budget causes.
TEST_CASE("a wait for the retry budget does not count as a slow start of waiting work")
{
    Interrupted interrupted(oneRetry(0));
    auto& harness = interrupted.harness;
    harness.advance(30s);
    harness.arrive(2);
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.shard.state->startInterval.interval(harness.now) == Duration::zero());
}

// Guards against a request that is refused because a second prefill needs a retry that the budget lacks, although a
// decode engine may prefill itself as soon as a slot is free.
TEST_CASE("an interrupted request without a retry for a prefill waits for a decode engine that prefills itself")
{
    auto settings = oneRetry(0);
    settings.decodeMayPrefill = true;
    settings.wastedPrefillWeight = 0;
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 1);
    // Answers of 100 tokens at 25 ms each, so that the end of the running one is known.
    for (std::uint64_t id = 1; id <= 20; ++id) {
        const auto decode = startAfterPrefill(harness, id);
        harness.now += 2'500ms;
        harness.send(TokensEmitted { decode.request, decode.attempt, 100 });
        harness.send(DecodeFinished { decode.request, decode.attempt, 100 });
    }
    const auto ending = startAfterPrefill(harness, 50);
    harness.replica(3, PoolRole::Decode, 1);
    const auto interrupted = startAfterPrefill(harness, 51);
    harness.replica(3, PoolRole::Decode, 1, ReplicaState::Leaving);
    harness.now += 2s;
    harness.send(TokensEmitted { ending.request, ending.attempt, 90 });
    harness.send(DecodeFailed { interrupted.request, interrupted.attempt, FailureKind::ServerError, 80 });
    CHECK_FALSE(harness.lastEver<Refuse>());
    harness.now += 100ms;
    harness.send(DecodeFinished { ending.request, ending.attempt, 100 });
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.last<StartDecode>()->request == interrupted.request);
    CHECK_FALSE(harness.last<StartDecode>()->prefill);
    CHECK_FALSE(harness.lastEver<Refuse>());
}

// Guards against an interrupted stream that is cut because engines without slot reservations reject it a number of
// times, which takes a fraction of a second if there are many.
TEST_CASE("an interrupted request that is rejected waits for room")
{
    auto settings = oneRetry(0);
    settings.retry = { .ratio = 0, .burst = 10 };
    SECTION("rejections cost nothing") { }
    SECTION("rejections take retries from the budget") { settings.retry.countsRejections = true; }
    Interrupted interrupted(std::move(settings));
    auto& harness = interrupted.harness;
    std::size_t rejections = 0;
    for (auto check = 0; check < 200; ++check) {
        if (const auto start = harness.last<StartPrefill>()) {
            ++rejections;
            harness.send(PrefillFailed { start->request, start->attempt, FailureKind::Busy });
        }
        harness.advance(250ms);
    }
    CHECK(rejections >= 8);
    CHECK_FALSE(harness.lastEver<Refuse>());
    harness.advance(10s);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
}

// Guards against an interrupted request that waits until its deadline because later ones, which need fewer retries, take
// each retry that the budget earns.
TEST_CASE("the retries of the budget go to the oldest interrupted request that needs some")
{
    auto settings = oneRetry(0.25);
    settings.retry.burst = 3;
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(2, PoolRole::Decode, 1);
    const auto older = harness.startDecode(1);
    harness.replica(5, PoolRole::Decode, 1);
    const auto newer = harness.startDecode(2);
    // Another replica of the version is full.
    harness.replica(6, PoolRole::Decode, 1);
    harness.startDecode(50);
    harness.replica(2, PoolRole::Decode, 1, ReplicaState::Leaving);
    harness.replica(5, PoolRole::Decode, 1, ReplicaState::Leaving);
    harness.send(DecodeFailed { older.request, older.attempt, FailureKind::ServerError, 5 });
    // The retry of the older one expires, so that it needs two.
    harness.advance(3s);
    harness.send(DecodeFailed { newer.request, newer.attempt, FailureKind::ServerError, 5 });
    REQUIRE(summarize(harness.shard).remainingRetries == 1);
    harness.replica(3, PoolRole::Decode, 100);
    CHECK_FALSE(harness.last<StartPrefill>());
    const auto hasStarted = [&](RequestId id) {
        return std::ranges::any_of(harness.all, [&](const DecisionAction& action) {
            const auto* start = std::get_if<StartPrefill>(&action);
            return start && start->request == id && start->attempt > 1;
        });
    };
    for (std::uint64_t request = 100; request < 104; ++request)
        harness.arrive(request);
    CHECK(hasStarted(older.request));
    CHECK_FALSE(hasStarted(newer.request));
    for (std::uint64_t request = 104; request < 108; ++request)
        harness.arrive(request);
    CHECK(hasStarted(newer.request));
    CHECK_FALSE(harness.lastEver<Refuse>());
}
