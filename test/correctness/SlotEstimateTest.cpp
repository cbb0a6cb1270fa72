#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// @return a shard with one decode slot that has observed answers of 100 tokens at 25 ms each.
auto withObservedAnswers(double wastedPrefillWeight) -> ShardHarness
{
    auto settings = testSettings();
    settings.wastedPrefillWeight = wastedPrefillWeight;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 1);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        harness.arrive(id);
        const auto prefill = *harness.last<StartPrefill>();
        harness.now += 400ms;
        harness.prefilled(prefill);
        const auto decode = *harness.last<StartDecode>();
        harness.now += 20ms;
        harness.started(decode);
        harness.now += 2'500ms;
        harness.send(TokensEmitted { decode.request, decode.attempt, 100 });
        harness.send(DecodeFinished { decode.request, decode.attempt, 100 });
    }
    return harness;
}

auto startDecodeOf(ShardHarness& harness, std::uint64_t id) -> StartDecode
{
    harness.arrive(id);
    harness.prefilled(*harness.last<StartPrefill>());
    const auto decode = *harness.last<StartDecode>();
    harness.started(decode);
    return decode;
}

}

// Guards against prefills whose result expires because no decode slot becomes free in time.
TEST_CASE("no prefill starts while the only slot is expected to stay in use")
{
    auto harness = withObservedAnswers(0.2);
    startDecodeOf(harness, 50);
    harness.arrive(51, 1);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(1s);
    CHECK_FALSE(harness.last<StartPrefill>());
}

// Guards against slots that stay empty for the duration of a prefill after each answer.
TEST_CASE("a prefill starts before the slot is free if the running answer is about to end")
{
    auto harness = withObservedAnswers(0);
    const auto running = startDecodeOf(harness, 50);
    harness.arrive(51, 1);
    harness.now += 2'200ms;
    harness.send(TokensEmitted { running.request, running.attempt, 88 });
    const auto prefill = harness.last<StartPrefill>();
    REQUIRE(prefill);
    CHECK(summarize(harness.shard).reservedSlots == 2);
    harness.prefilled(*prefill);
    CHECK_FALSE(harness.last<StartDecode>());
    harness.send(DecodeFinished { running.request, running.attempt, 100 });
    CHECK(harness.last<StartDecode>());
}

// Guards against a stream that goes on at another software version because a slot there is about to become free, and
// against a prefill whose result expires because only a slot of another version is.
TEST_CASE("a prefill of an interrupted stream starts before its slot is free only if that is at its version")
{
    auto harness = withObservedAnswers(0);
    const auto running = startDecodeOf(harness, 50);
    // Request 51 begins at version 1, whose last engine then has no free slot.
    // The two answers are expected to end at different times.
    harness.now += 100ms;
    harness.replica(3, PoolRole::Decode, 1, ReplicaState::Live, 0, 1);
    const auto stream = startDecodeOf(harness, 51);
    REQUIRE(stream.decode == ReplicaId { 3 });
    harness.send(TokensEmitted { stream.request, stream.attempt, 5 });
    const auto sameVersion = GENERATE(true, false);
    if (!sameVersion)
        harness.replica(4, PoolRole::Decode, 0, ReplicaState::Live, 0, 1);
    else
        harness.replica(2, PoolRole::Decode, 1, ReplicaState::Leaving);
    StartDecode other = running;
    if (sameVersion) {
        harness.replica(5, PoolRole::Decode, 1, ReplicaState::Live, 0, 1);
        other = startDecodeOf(harness, 52);
        REQUIRE(other.decode == ReplicaId { 5 });
    }
    harness.replica(3, PoolRole::Decode, 1, ReplicaState::Leaving, 0, 1);
    harness.send(DecodeFailed { stream.request, stream.attempt, FailureKind::ServerError, 5 });
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.now += 2'200ms;
    harness.send(TokensEmitted { other.request, other.attempt, 88 });
    CHECK(harness.last<StartPrefill>().has_value() == sameVersion);
    if (sameVersion)
        CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 5 });
}

// Guards against batch work that takes the next slot from interactive work that arrives before the slot
// is free.
TEST_CASE("batch work does not start before its slot is free")
{
    auto harness = withObservedAnswers(0);
    const auto running = startDecodeOf(harness, 50);
    harness.arrive(51, 2);
    harness.now += 2'200ms;
    harness.send(TokensEmitted { running.request, running.attempt, 88 });
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.arrive(52);
    harness.send(DecodeFinished { running.request, running.attempt, 100 });
    REQUIRE(harness.lastEver<StartPrefill>());
    CHECK(harness.lastEver<StartPrefill>()->request == RequestId { 52 });
}

// Guards against prefills whose result expires because the slot becomes free without enough memory.
TEST_CASE("no prefill starts for a slot that will not have enough memory")
{
    auto harness = withObservedAnswers(0);
    const auto running = startDecodeOf(harness, 50);
    // The running answer takes one of two memory blocks. The next prompt needs both.
    harness.send(ReplicaChanged { ReplicaId { 2 }, PoolRole::Decode, ZoneId { 0 }, ReplicaState::Live, 1, 2, 2'000, 0 });
    harness.arrive(51, 1, 0, 3'000);
    harness.now += 2'200ms;
    harness.send(TokensEmitted { running.request, running.attempt, 88 });
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.send(DecodeFinished { running.request, running.attempt, 100 });
    CHECK(harness.last<StartPrefill>());
}

// Guards against results that expire while they wait for a full link.
TEST_CASE("a prefill waits until the link has capacity for its transfer")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 4);
    harness.send(ReplicaChanged { ReplicaId { 2 }, PoolRole::Decode, ZoneId { 0 }, ReplicaState::Live, 4, 100, 2'000, 1'000'000'000 });
    harness.arrive(1, 0, 0, 2'000);
    const auto first = harness.last<StartPrefill>();
    REQUIRE(first);
    harness.arrive(2, 0, 0, 2'000);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.prefilled(*first);
    harness.started(*harness.last<StartDecode>());
    CHECK(harness.last<StartPrefill>());
}
