#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint64_t crashingPart = 13;

/// A shard with one prefill engine and one decode engine.
struct PartHarness : ShardHarness {
    PartHarness()
    {
        replica(1, PoolRole::Prefill, 8);
        replica(2, PoolRole::Decode, 8);
    }

    auto arriveWith(std::uint64_t id, std::vector<std::uint64_t> parts) -> void
    {
        send(RequestArrived { .request = RequestId { id }, .kind = KindId { 1 }, .customer = CustomerId { 0 }, .promptTokens = 1'000, .maxTokens = 200, .deadline = now + 60s, .signature = id, .promptParts = std::move(parts) });
    }

    /// @return the decode of a new request.
    auto decodeOf(std::uint64_t id, std::vector<std::uint64_t> parts) -> StartDecode
    {
        arriveWith(id, std::move(parts));
        prefilled(last<StartPrefill>().value());
        return last<StartDecode>().value();
    }

    auto block() -> void { send(BlockedPartsListed { { { crashingPart } } }); }
};

}

// Guards against requests that reach an engine although their prompt is known to crash it.
TEST_CASE("a request with a blocked part is refused before it runs")
{
    PartHarness harness;
    harness.block();
    harness.arriveWith(1, { 7, crashingPart });
    const auto refusal = harness.last<Refuse>();
    REQUIRE(refusal);
    CHECK(refusal->reason == RefusalReason::CrashSuspect);
    CHECK(refusal->outcome == ExecutionOutcome::NotRun);
    CHECK_FALSE(harness.lastEver<StartPrefill>());
    harness.arriveWith(2, { 7, 8 });
    CHECK(harness.last<StartPrefill>());
}

// Guards against requests that wait or run when their part is blocked and crash an engine afterwards.
TEST_CASE("requests in progress are refused when a part of their prompt is blocked")
{
    PartHarness harness;
    harness.decodeOf(1, { 7, crashingPart });
    harness.block();
    const auto refusal = harness.last<Refuse>();
    REQUIRE(refusal);
    CHECK(refusal->outcome == ExecutionOutcome::Unknown);
    CHECK(harness.last<CancelOnReplica>()->replica == ReplicaId { 2 });
}

// Guards against a request that is refused although its answer shows that the part is harmless.
TEST_CASE("a request that is past the point of the crash is not refused and unblocks the part")
{
    PartHarness harness;
    const auto decode = harness.decodeOf(1, { 7, crashingPart });
    harness.started(decode);
    harness.send(TokensEmitted { decode.request, decode.attempt, 20 });
    harness.block();
    CHECK_FALSE(harness.last<Refuse>());
    CHECK(harness.last<UpdateBlockedPart>()->change == BlockedPartChange::Remove);
    CHECK(harness.last<ReportHarmlessParts>()->parts == std::vector<std::uint64_t> { crashingPart });
}

// Guards against blaming requests that were running before the crash, and against crashes that peers do not
// hear of.
TEST_CASE("only requests without an answer are reported with a crash")
{
    PartHarness harness;
    const auto running = harness.decodeOf(1, { 1 });
    harness.started(running);
    harness.send(TokensEmitted { running.request, running.attempt, 20 });
    const auto starting = harness.decodeOf(2, { 2 });
    harness.send(DecodeFailed { running.request, running.attempt, FailureKind::ConnectionLost, 20 });
    CHECK_FALSE(harness.last<ReportCrashedPrompt>());
    harness.send(DecodeFailed { starting.request, starting.attempt, FailureKind::ConnectionLost, 0 });
    REQUIRE(harness.last<ReportCrashedPrompt>());
    CHECK(harness.last<ReportCrashedPrompt>()->prompt.parts == std::vector<std::uint64_t> { 2 });
}

// Guards against peers that block a part which this instance knows to be harmless.
TEST_CASE("an instance tells its peers that a suspicious part is harmless")
{
    PartHarness harness;
    const auto decode = harness.decodeOf(1, { 7 });
    harness.started(decode);
    harness.send(DecodeFinished { decode.request, decode.attempt, 3 });
    harness.send(CrashedPromptReported { { .process = 5, .signature = 9, .parts = { 7, 8 } } });
    REQUIRE(harness.last<ReportHarmlessParts>());
    CHECK(harness.last<ReportHarmlessParts>()->parts == std::vector<std::uint64_t> { 7 });
}

// Guards against a crashing part deep in a long prompt that no instance compares, so that its requests crash one engine after
// the other, and against sound requests that are refused because they share the parts around it.
TEST_CASE("a crashing part is blocked wherever it is in a long prompt")
{
    constexpr std::size_t longPrompt = 1'000;
    const auto position = GENERATE(as<std::size_t> {}, 5, 31, 32, 36, 700, longPrompt - 1);
    CAPTURE(position);
    PartHarness harness;
    std::vector<std::uint64_t> sound(longPrompt);
    std::iota(sound.begin(), sound.end(), 1'000);
    auto crashing = sound;
    crashing[position] = crashingPart;
    const auto answered = harness.decodeOf(1, sound);
    harness.started(answered);
    harness.send(DecodeFinished { answered.request, answered.attempt, 3 });
    harness.decodeOf(2, crashing);
    const auto own = *harness.last<StartDecode>();
    harness.send(DecodeFailed { own.request, own.attempt, FailureKind::ConnectionLost, 0 });
    std::vector<CrashedPrompt> reported;
    for (const auto& action : harness.actions) {
        if (const auto* report = std::get_if<ReportCrashedPrompt>(&action))
            reported.push_back(report->prompt);
    }
    // The parts that were answered are known to be harmless, so that a report is not longer than that of a short prompt.
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].parts.size() <= maxReportedParts);
    REQUIRE(position - reported[0].firstPosition < reported[0].parts.size());
    CHECK(reported[0].parts[position - reported[0].firstPosition] == crashingPart);
    // A peer reports the other crash.
    auto other = reported[0];
    other.process = 77;
    other.signature = 9;
    harness.send(CrashedPromptReported { other });
    harness.advance(1s);
    harness.send(Tick {});
    REQUIRE(harness.lastEver<UpdateBlockedPart>());
    CHECK(harness.lastEver<UpdateBlockedPart>()->part == crashingPart);
    harness.arriveWith(3, crashing);
    CHECK(harness.last<Refuse>());
    harness.arriveWith(4, sound);
    CHECK_FALSE(harness.last<Refuse>());
}

// Guards against reports of peers that don't fit in a message, and against evidence that is left out without a trace.
TEST_CASE("a long prompt that was never answered is reported in pieces, within bounds")
{
    PartHarness harness;
    std::vector<std::uint64_t> parts(20'000);
    std::iota(parts.begin(), parts.end(), 1'000);
    const auto decode = harness.decodeOf(1, parts);
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, 0 });
    std::size_t next = 0;
    for (const auto& action : harness.actions) {
        const auto* report = std::get_if<ReportCrashedPrompt>(&action);
        if (!report)
            continue;
        CHECK(report->prompt.firstPosition == next);
        CHECK(report->prompt.parts.size() <= maxReportedParts);
        next += report->prompt.parts.size();
    }
    CHECK(next == parts.size());
    REQUIRE(harness.last<CrashEvidenceDropped>());
    CHECK(harness.last<CrashEvidenceDropped>()->parts == 20'000 - 16'384);
}

// Guards against a trial of a blocked part that takes other requests with it or is repeated.
TEST_CASE("the trial of a blocked part runs one request in isolation")
{
    PartHarness harness;
    harness.block();
    harness.now += 11min;
    harness.arriveWith(1, { crashingPart });
    REQUIRE(harness.last<UpdateBlockedPart>());
    CHECK(harness.last<UpdateBlockedPart>()->change == BlockedPartChange::BeginTrial);
    CHECK(harness.last<Refuse>());
    harness.send(PartTrialAllowed { crashingPart });
    const auto decode = harness.decodeOf(2, { crashingPart });
    harness.arriveWith(3, { crashingPart });
    CHECK(harness.last<Refuse>());
    // The engine of the trial gets no other request.
    harness.arriveWith(4, { 1 });
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, 0 });
    CHECK(harness.lastEver<Refuse>()->request == RequestId { 2 });
}
