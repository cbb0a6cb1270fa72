#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto reservingSettings() -> ShardSettings
{
    auto settings = testSettings();
    settings.reservesSlots = true;
    settings.kinds[0].repeatable = true;
    settings.kinds[0].maxAttempts = 3;
    return settings;
}

/// A request that decodes on replica 2, with replica 3 as the only other decode replica.
struct Silent {
    explicit Silent(ShardSettings settings = reservingSettings())
        : harness(std::move(settings))
    {
        harness.replica(1, PoolRole::Prefill, 4);
        harness.replica(2, PoolRole::Decode, 1);
        harness.arrive(1);
        const auto prefill = *harness.last<StartPrefill>();
        harness.send(SlotReserved { prefill.request, prefill.attempt });
        harness.prefilled(prefill);
        attempt = *harness.last<StartDecode>();
        harness.started(attempt);
        harness.replica(3, PoolRole::Decode, 1);
    }

    auto beSilent(std::uint32_t tokens = 0) -> void
    {
        harness.advance(1s);
        harness.send(AttemptSilent { attempt.request, attempt.attempt, tokens });
    }
    auto reservation() const -> ReserveReplacement { return harness.lastEver<ReserveReplacement>().value(); }
    auto grant(std::uint32_t tokens = 0) -> void { harness.send(ReplacementReserved { attempt.request, reservation().number, tokens }); }
    auto refuse(FailureKind failure) -> void { harness.send(ReplacementRefused { attempt.request, reservation().number, failure }); }
    auto reservedSlots() const -> std::uint64_t { return summarize(harness.shard).reservedSlots; }
    /// @return how many slots this instance reports to its peers.
    auto reportedSlots() const -> std::uint32_t
    {
        std::uint32_t slots = 0;
        for (const auto& usage : ownUsage(harness.shard))
            slots += usage.slots;
        return slots;
    }
    auto isRunning() const -> bool { return !harness.lastEver<Refuse>() && !harness.lastEver<CancelOnReplica>(); }

    ShardHarness harness;
    StartDecode attempt {};
};

}

// Guards against a new attempt that runs beside the silent one, without its slot, or that resumes at a wrong token.
TEST_CASE("a granted slot replaces the silent attempt")
{
    Silent silent;
    auto& harness = silent.harness;
    silent.beSilent(7);
    REQUIRE(harness.last<ReserveReplacement>());
    CHECK(silent.reservation().decode == ReplicaId { 3 });
    CHECK(silent.reservedSlots() == 2);
    CHECK(silent.reportedSlots() == 1);
    silent.grant(7);
    REQUIRE(harness.actions.size() >= 2);
    const auto cancelled = std::ranges::find_if(harness.actions, [](const auto& action) { return std::holds_alternative<CancelOnReplica>(action); });
    const auto started = std::ranges::find_if(harness.actions, [](const auto& action) { return std::holds_alternative<StartPrefill>(action); });
    REQUIRE(started != harness.actions.end());
    CHECK(cancelled < started);
    const auto& prefill = std::get<StartPrefill>(*started);
    CHECK(prefill.decode == ReplicaId { 3 });
    CHECK(prefill.replacement == silent.reservation().number);
    CHECK_FALSE(harness.last<ReleaseReplacement>());
    harness.prefilled(prefill);
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.last<StartDecode>()->decode == ReplicaId { 3 });
    CHECK(harness.last<StartDecode>()->resumeFrom == 7);
    // The prefill has released its slot.
    CHECK(silent.reservedSlots() == 1);
    CHECK(silent.reportedSlots() == 1);
    harness.send(DecodeFinished { prefill.request, prefill.attempt, 20 });
    CHECK(silent.reservedSlots() == 0);
    CHECK(summarize(harness.shard).finished == 1);
}

// Guards against a refused reservation that costs an attempt or a retry, or is repeated at once.
TEST_CASE("a refused slot leaves the silent attempt running")
{
    auto settings = reservingSettings();
    settings.retry = { .ratio = 0, .burst = 2 };
    Silent silent(std::move(settings));
    ReplacementNumber previous = 0;
    for (int check = 0; check < 40; ++check) {
        silent.beSilent();
        REQUIRE(silent.harness.lastEver<ReserveReplacement>());
        REQUIRE(silent.reservation().number == previous + 1);
        previous = silent.reservation().number;
        silent.refuse(FailureKind::Busy);
        CHECK_FALSE(silent.harness.last<ReserveReplacement>());
        CHECK(silent.reservedSlots() == 1);
    }
    CHECK(silent.isRunning());
    CHECK(summarize(silent.harness.shard).remainingRetries == 2);
    silent.beSilent();
    silent.grant();
    CHECK(silent.harness.last<StartPrefill>());
    CHECK(summarize(silent.harness.shard).remainingRetries == 0);
}

// Guards against a stream that is moved although its engine has gone on, and against a slot that is never released.
TEST_CASE("an engine that goes on keeps its attempt, and the slot is released")
{
    Silent silent;
    auto& harness = silent.harness;
    silent.beSilent(7);
    SECTION("the driver has sent tokens that it has not reported")
    {
        silent.grant(8);
    }
    SECTION("the driver has reported tokens")
    {
        harness.send(TokensEmitted { silent.attempt.request, silent.attempt.attempt, 8 });
        silent.grant(8);
    }
    REQUIRE(harness.last<ReleaseReplacement>());
    CHECK(harness.last<ReleaseReplacement>()->number == silent.reservation().number);
    CHECK(silent.isRunning());
    CHECK(silent.reservedSlots() == 1);
    // Another silence of the same attempt may ask again.
    silent.beSilent(8);
    CHECK(harness.last<ReserveReplacement>());
}

// Guards against a second reservation beside the one that is asked for, and against outdated outcomes that count.
TEST_CASE("a request has one reservation at a time")
{
    Silent silent;
    auto& harness = silent.harness;
    harness.replica(4, PoolRole::Decode, 1);
    silent.beSilent();
    const auto first = silent.reservation();
    silent.beSilent();
    CHECK_FALSE(harness.last<ReserveReplacement>());
    CHECK(silent.reservedSlots() == 2);
    silent.refuse(FailureKind::TimedOut);
    silent.beSilent();
    REQUIRE(harness.last<ReserveReplacement>());
    harness.send(ReplacementReserved { silent.attempt.request, first.number, 0 });
    CHECK(silent.isRunning());
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.send(ReplacementRefused { silent.attempt.request, first.number, FailureKind::Busy });
    CHECK(silent.reservedSlots() == 2);
    silent.grant();
    CHECK(harness.last<StartPrefill>());
}

// Guards against slots that stay reserved when the silent attempt ends before the reservation is answered.
TEST_CASE("the end of the silent attempt gives the reservation up")
{
    Silent silent;
    auto& harness = silent.harness;
    silent.beSilent();
    const auto attempt = silent.attempt;
    SECTION("it finishes") { harness.send(DecodeFinished { attempt.request, attempt.attempt, 20 }); }
    SECTION("the caller leaves") { harness.send(RequestCancelled { attempt.request }); }
    SECTION("its deadline passes") { harness.advance(60s); }
    REQUIRE(harness.last<ReleaseReplacement>());
    CHECK(silent.reservedSlots() == 0);
    silent.grant();
    CHECK_FALSE(harness.last<StartPrefill>());
    CHECK(silent.reservedSlots() == 0);
}

// Guards against an attempt that ends although its replacement may not start any more when the slot is granted.
TEST_CASE("the silent attempt goes on if its replacement may not start when the slot is granted")
{
    auto settings = reservingSettings();
    settings.retry = { .ratio = 0, .burst = 2 };
    Silent silent(std::move(settings));
    auto& harness = silent.harness;
    silent.beSilent();
    SECTION("the retry budget was used meanwhile")
    {
        REQUIRE(tryConsumeRetry(harness.shard, harness.now, ReplicaId { 2 }));
    }
    SECTION("the engine with the slot is leaving")
    {
        harness.replica(3, PoolRole::Decode, 1, ReplicaState::Leaving);
    }
    SECTION("the engine with the slot has asked for a pause")
    {
        harness.send(ReplicaPaused { ReplicaId { 3 }, harness.now + 5s, harness.now + 5s });
    }
    SECTION("no prefill engine is left")
    {
        harness.replica(1, PoolRole::Prefill, 4, ReplicaState::Leaving);
    }
    silent.grant();
    CHECK(silent.isRunning());
    CHECK(harness.last<ReleaseReplacement>());
    CHECK(silent.reservedSlots() == 1);
    harness.send(DecodeFinished { silent.attempt.request, silent.attempt.attempt, 20 });
    CHECK(summarize(harness.shard).finished == 1);
}

// Guards against a request that loses its attempt when the engine crashes that was to replace it, and against a replica
// that stays known for a reservation on it.
TEST_CASE("a crash of the engine with the reserved slot does not end the silent attempt")
{
    Silent silent;
    auto& harness = silent.harness;
    silent.beSilent();
    harness.replica(3, PoolRole::Decode, 1, ReplicaState::Gone);
    CHECK(silent.isRunning());
    silent.refuse(FailureKind::ConnectionLost);
    CHECK(silent.isRunning());
    CHECK(silent.reservedSlots() == 1);
    CHECK(summarize(harness.shard).liveReplicas == 2);
}

// Guards against a silent prefill that ends before the next attempt holds a decode slot, and against the loss of the
// slot that both use on the same engine.
TEST_CASE("a silent prefill goes on until the next attempt holds a decode slot")
{
    ShardHarness harness(reservingSettings());
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 2);
    harness.arrive(1);
    const auto first = *harness.last<StartPrefill>();
    harness.replica(3, PoolRole::Prefill, 4);
    // The engine has not been given the prefill before the slot is reserved.
    harness.advance(1s);
    harness.send(AttemptSilent { first.request, first.attempt, 0 });
    CHECK_FALSE(harness.last<ReserveReplacement>());
    harness.send(SlotReserved { first.request, first.attempt });
    harness.send(AttemptSilent { first.request, first.attempt, 0 });
    REQUIRE(harness.last<ReserveReplacement>());
    const auto reservation = *harness.last<ReserveReplacement>();
    CHECK_FALSE(harness.lastEver<CancelOnReplica>());
    SECTION("the prefill ends meanwhile")
    {
        harness.prefilled(first);
        REQUIRE(harness.last<StartDecode>());
        harness.send(ReplacementReserved { first.request, reservation.number, 0 });
        CHECK(harness.last<ReleaseReplacement>());
        CHECK_FALSE(harness.last<CancelOnReplica>());
        CHECK(summarize(harness.shard).reservedSlots == 1);
    }
    SECTION("the prefill stays silent")
    {
        harness.send(ReplacementReserved { first.request, reservation.number, 0 });
        REQUIRE(harness.last<StartPrefill>());
        CHECK(harness.last<StartPrefill>()->prefill == ReplicaId { 3 });
        CHECK(harness.last<StartPrefill>()->replacement == reservation.number);
        CHECK(summarize(harness.shard).reservedSlots == 2);
        harness.prefilled(*harness.last<StartPrefill>());
        REQUIRE(harness.last<StartDecode>());
        const auto decode = *harness.last<StartDecode>();
        harness.started(decode);
        // The replica still knows the request, so its crash ends the attempt.
        harness.replica(2, PoolRole::Decode, 2, ReplicaState::Gone);
        CHECK(harness.last<CancelOnReplica>());
        CHECK(summarize(harness.shard).reservedSlots == 0);
    }
}

// Guards against a second prefill for which the budget has no retry, although the decode engine that holds the slot may
// prefill itself.
TEST_CASE("the engine with the reserved slot prefills itself if the budget lacks a retry for a prefill")
{
    auto settings = reservingSettings();
    settings.decodeMayPrefill = true;
    settings.retry = { .ratio = 0, .burst = 1 };
    Silent silent(std::move(settings));
    silent.beSilent(7);
    silent.grant(7);
    REQUIRE(silent.harness.last<StartDecode>());
    const auto start = *silent.harness.last<StartDecode>();
    CHECK(start.decode == ReplicaId { 3 });
    CHECK(start.replacement == silent.reservation().number);
    CHECK_FALSE(start.slot);
    CHECK(start.resumeFrom == 7);
    CHECK_FALSE(start.prefill);
}

// Guards against a limited engine that gets no calls because slots that were given up count as calls to it.
TEST_CASE("a slot that is given up does not use up the limit of its engine")
{
    Silent silent;
    auto& harness = silent.harness;
    harness.send(ReplicaLimited { ReplicaId { 3 }, CallRate { .perSecond = 0, .capacity = 1, .initial = 1 } });
    silent.beSilent(7);
    REQUIRE(harness.last<ReserveReplacement>());
    silent.grant(8);
    REQUIRE(harness.last<ReleaseReplacement>());
    silent.beSilent(8);
    CHECK(harness.last<ReserveReplacement>());
}

// Guards against silent attempts that take the room for which an interrupted request waits.
TEST_CASE("no silent attempt is replaced while an interrupted request waits for capacity")
{
    constexpr std::uint32_t largePrompt = 1'500'000;
    Silent silent;
    auto& harness = silent.harness;
    harness.replica(3, PoolRole::Decode, 1, ReplicaState::Leaving);
    harness.replica(4, PoolRole::Decode, 1);
    harness.arrive(2, 0, 0, largePrompt);
    const auto prefill = harness.last<StartPrefill>().value();
    harness.send(SlotReserved { prefill.request, prefill.attempt });
    harness.prefilled(prefill);
    const auto large = harness.last<StartDecode>().value();
    harness.started(large);
    // There is room for the silent request, and not for the large one.
    harness.replica(5, PoolRole::Decode, 4);
    harness.arrive(3, 0, 0, largePrompt / 2);
    const auto other = harness.last<StartPrefill>().value();
    REQUIRE(other.decode == ReplicaId { 5 });
    harness.send(SlotReserved { other.request, other.attempt });
    harness.prefilled(other);
    harness.started(harness.last<StartDecode>().value());
    harness.replica(4, PoolRole::Decode, 1, ReplicaState::Leaving);
    harness.send(DecodeFailed { large.request, large.attempt, FailureKind::ServerError, 5 });
    REQUIRE(summarize(harness.shard).queued == 1);
    silent.beSilent(7);
    CHECK_FALSE(harness.lastEver<ReserveReplacement>());
    harness.send(RequestCancelled { large.request });
    silent.beSilent(7);
    CHECK(harness.lastEver<ReserveReplacement>());
}
