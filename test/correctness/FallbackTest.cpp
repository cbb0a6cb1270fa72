#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto fallbackSettings(bool reservesSlots, std::int64_t maxAttempts) -> ShardSettings
{
    auto settings = testSettings();
    settings.reservesSlots = reservesSlots;
    settings.kinds[0].repeatable = true;
    settings.kinds[0].maxAttempts = maxAttempts;
    return settings;
}

/// A request whose engine, replica 2, has become silent after 7 tokens, so that its attempt on replica 3 has begun.
struct Replaced {
    explicit Replaced(bool reservesSlots = true, std::int64_t maxAttempts = 2)
        : harness(fallbackSettings(reservesSlots, maxAttempts))
    {
        harness.replica(1, PoolRole::Prefill, 4);
        harness.replica(2, PoolRole::Decode, 1);
        harness.arrive(1);
        const auto prefill = *harness.last<StartPrefill>();
        harness.send(SlotReserved { prefill.request, prefill.attempt });
        harness.prefilled(prefill);
        first = *harness.last<StartDecode>();
        harness.started(first);
        harness.replica(3, PoolRole::Decode, 1);
        harness.advance(1s);
        harness.send(AttemptSilent { first.request, first.attempt, 7 });
        if (reservesSlots)
            harness.send(ReplacementReserved { first.request, harness.last<ReserveReplacement>().value().number, 7 });
        second = harness.last<StartPrefill>().value();
    }

    auto fail(FailureKind failure) -> void { harness.send(ReplacementFailed { second.request, second.attempt, failure, 7 }); }
    auto returned() const -> ReturnToFallback { return harness.lastEver<ReturnToFallback>().value(); }
    auto summary() const -> ShardSummary { return summarize(harness.shard); }

    ShardHarness harness;
    StartDecode first {};
    StartPrefill second {};
};

}

// Guards against a stream that is cut because its engine was silent: the attempt that replaced the silent one fails, and
// the silent one, which could have gone on, was given up for it.
TEST_CASE("a request returns to its silent engine when the attempt that replaced it fails")
{
    const auto reservesSlots = GENERATE(true, false);
    const auto failure = GENERATE(FailureKind::Busy, FailureKind::NotConnected, FailureKind::ConnectionLost, FailureKind::ServerError, FailureKind::KvExpired);
    Replaced replaced(reservesSlots);
    auto& harness = replaced.harness;
    REQUIRE(harness.lastEver<CancelOnReplica>());
    CHECK(harness.lastEver<CancelOnReplica>()->replica == ReplicaId { 2 });
    CHECK(harness.lastEver<CancelOnReplica>()->becomesFallback);
    const auto isDecoding = GENERATE(false, true);
    if (isDecoding) {
        harness.prefilled(replaced.second);
        REQUIRE(harness.last<StartDecode>());
    }
    replaced.fail(failure);
    REQUIRE(harness.last<ReturnToFallback>());
    CHECK(replaced.returned().replica == ReplicaId { 2 });
    CHECK(replaced.returned().attempt > replaced.second.attempt);
    CHECK_FALSE(harness.lastEver<Refuse>());
    CHECK(replaced.summary().reservedSlots == 1);
    CHECK(replaced.summary().decoding == 1);
    harness.send(DecodeFinished { replaced.first.request, replaced.returned().attempt, 20 });
    CHECK(replaced.summary().finished == 1);
    CHECK(replaced.summary().reservedSlots == 0);
}

// Guards against a request that loses its fallback because the shard, and not the driver, learns that the new attempt
// has failed.
TEST_CASE("a request returns to its silent engine when the engine of the new attempt crashes")
{
    Replaced replaced;
    auto& harness = replaced.harness;
    harness.replica(1, PoolRole::Prefill, 4, ReplicaState::Gone);
    REQUIRE(harness.last<ReturnToFallback>());
    CHECK(replaced.returned().replica == ReplicaId { 2 });
    CHECK_FALSE(harness.lastEver<Refuse>());
}

// Guards against a stream that goes back to an engine after another one has continued it, and against attempts beyond
// the limit of the kind.
TEST_CASE("a request has no fallback after the new attempt has brought a token")
{
    Replaced replaced;
    auto& harness = replaced.harness;
    harness.prefilled(replaced.second);
    const auto decode = harness.last<StartDecode>().value();
    SECTION("its start is reported") { harness.started(decode); }
    SECTION("its tokens are reported") { harness.send(TokensEmitted { decode.request, decode.attempt, 9 }); }
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ServerError, 9 });
    CHECK_FALSE(harness.lastEver<ReturnToFallback>());
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->reason == RefusalReason::RetriesExhausted);
}

// Guards against a return to an attempt that has ended.
TEST_CASE("a request whose fallback has ended is handled by the retry rules")
{
    Replaced replaced;
    auto& harness = replaced.harness;
    SECTION("the driver has reported its end") { harness.send(FallbackEnded { replaced.first.request, replaced.first.attempt }); }
    SECTION("the driver reports the failure of an attempt without a fallback") { }
    harness.prefilled(replaced.second);
    const auto decode = harness.last<StartDecode>().value();
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ServerError, 7 });
    CHECK_FALSE(harness.lastEver<ReturnToFallback>());
    CHECK(harness.last<Refuse>());
}

// Guards against a silent engine that is never replaced after a return, and against replacements beyond the limit of the
// kind.
TEST_CASE("a fallback that stays silent is replaced as the attempts of its kind allow")
{
    Replaced replaced(true, 3);
    auto& harness = replaced.harness;
    const auto isNotRun = GENERATE(true, false);
    replaced.fail(isNotRun ? FailureKind::NotConnected : FailureKind::ServerError);
    harness.replica(4, PoolRole::Decode, 4);
    const auto beSilent = [&] {
        harness.advance(1s);
        harness.send(AttemptSilent { replaced.first.request, replaced.returned().attempt, 7 });
    };
    beSilent();
    CHECK(harness.last<ReserveReplacement>());
    harness.send(ReplacementReserved { replaced.first.request, harness.last<ReserveReplacement>().value().number, 7 });
    const auto third = harness.last<StartPrefill>().value();
    harness.prefilled(third);
    REQUIRE(harness.last<StartDecode>());
    harness.send(ReplacementFailed { third.request, third.attempt, FailureKind::ServerError, 7 });
    REQUIRE(harness.last<ReturnToFallback>());
    beSilent();
    // Three decodes count: two that were given up for their silence, and one that has failed.
    CHECK_FALSE(harness.last<ReserveReplacement>());
    CHECK_FALSE(harness.lastEver<Refuse>());
}

// Guards against a request that has no final result, or keeps slots, when its silent engine completes the response first.
TEST_CASE("a fallback that completes the response ends the request")
{
    Replaced replaced;
    auto& harness = replaced.harness;
    SECTION("while the new attempt prefills") { }
    SECTION("while the new attempt waits for its first token") { harness.prefilled(replaced.second); }
    SECTION("when the shard has returned to it")
    {
        replaced.fail(FailureKind::ServerError);
        REQUIRE(harness.last<ReturnToFallback>());
    }
    harness.send(FallbackFinished { replaced.first.request, 7 });
    CHECK(replaced.summary().finished == 1);
    CHECK(replaced.summary().reservedSlots == 0);
    CHECK(replaced.summary().queued + replaced.summary().prefilling + replaced.summary().decoding == 0);
    CHECK_FALSE(harness.lastEver<Refuse>());
}

// Guards against reservations beyond the room of the silent engine, which other requests have taken meanwhile.
TEST_CASE("a request returns to its silent engine without a reservation if there is no room for one")
{
    Replaced replaced;
    auto& harness = replaced.harness;
    harness.arrive(2);
    const auto other = harness.last<StartPrefill>().value();
    REQUIRE(other.decode == ReplicaId { 2 });
    replaced.fail(FailureKind::ServerError);
    REQUIRE(harness.last<ReturnToFallback>());
    CHECK(replaced.summary().reservedSlots == 2);
    harness.send(DecodeFinished { replaced.first.request, replaced.returned().attempt, 20 });
    CHECK(replaced.summary().finished == 1);
    harness.send(RequestCancelled { other.request });
    CHECK(replaced.summary().reservedSlots == 0);
}

// Guards against an engine that is told to drop the attempt which is the fallback, because its load report shows memory
// for a request that runs elsewhere.
TEST_CASE("the attempt of a fallback is not cancelled as an orphan")
{
    Replaced replaced;
    auto& harness = replaced.harness;
    harness.advance(1s);
    harness.send(ReplicaLoad { .replica = ReplicaId { 2 }, .sequence = 5, .asOf = harness.now, .running = 1, .waiting = 0, .freeMemoryBlocks = 900, .held = { replaced.first.request } });
    CHECK_FALSE(harness.last<CancelOnReplica>());
    harness.send(FallbackEnded { replaced.first.request, replaced.first.attempt });
    harness.advance(1s);
    harness.send(ReplicaLoad { .replica = ReplicaId { 2 }, .sequence = 6, .asOf = harness.now, .running = 1, .waiting = 0, .freeMemoryBlocks = 900, .held = { replaced.first.request } });
    CHECK(harness.last<CancelOnReplica>());
}
