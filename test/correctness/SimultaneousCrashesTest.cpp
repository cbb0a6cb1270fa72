#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint64_t sharedPart = 13;
constexpr std::uint32_t engineCount = 3;
constexpr std::uint32_t firstEngine = 10;
constexpr std::uint64_t nextRequest = 100;
/// Events that were sent before a connection was lost have arrived, and so has the entry of another process.
constexpr auto entryTime = 300ms;

auto processOf(std::uint32_t engine, std::uint64_t incarnation = 0) -> std::uint64_t
{
    return 1'000 * (incarnation + 1) + engine;
}

/// A shard with three decode engines of a zone, each of which runs a request, and an engine of another zone.
struct ZoneHarness : ShardHarness {
    std::vector<StartDecode> decodes;

    ZoneHarness()
    {
        replica(1, PoolRole::Prefill, 20);
        for (std::uint32_t engine = 0; engine < engineCount; ++engine)
            addEngine(firstEngine + engine, processOf(engine));
    }

    auto addEngine(std::uint32_t id, std::uint64_t process, std::uint16_t zone = 0) -> void
    {
        send(ReplicaChanged { .replica = ReplicaId { id }, .role = PoolRole::Decode, .zone = ZoneId { zone }, .state = ReplicaState::Live, .slots = 1, .memoryBlocks = 1'000, .memoryBlockTokens = 2'000, .linkBytesPerSecond = 100'000'000'000, .process = process });
    }

    auto arriveWith(std::uint64_t id, std::uint64_t signature, std::vector<std::uint64_t> parts) -> void
    {
        send(RequestArrived { .request = RequestId { id }, .kind = KindId { 1 }, .customer = CustomerId { 0 }, .promptTokens = 1'000, .maxTokens = 200, .deadline = now + 60s, .signature = signature, .promptParts = std::move(parts) });
    }

    /// Starts a request on each engine of the zone.
    auto fill(std::optional<std::uint64_t> signature, const std::vector<std::uint64_t>& parts) -> void
    {
        for (std::uint64_t id = 1; id <= engineCount; ++id) {
            auto ownParts = parts;
            if (!parts.empty())
                ownParts.push_back(1'000'000 + id);
            arriveWith(id, signature.value_or(id), ownParts);
            prefilled(last<StartPrefill>().value());
            decodes.push_back(last<StartDecode>().value());
        }
        addEngine(firstEngine + engineCount, processOf(engineCount), 1);
    }

    /// Breaks the connections of all engines of the zone. The requests that were on them are cancelled by their callers.
    auto loseZone() -> void
    {
        now += 100ms;
        for (const auto& decode : decodes)
            send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, 0 });
        const auto checks = std::ranges::count_if(all, [](const auto& action) { return std::holds_alternative<CheckProcess>(action); });
        CHECK(checks == engineCount);
        for (const auto& decode : decodes)
            send(RequestCancelled { decode.request });
        advance(50ms);
    }

    auto endProcesses() -> void
    {
        for (std::uint32_t engine = 0; engine < engineCount; ++engine)
            send(ProcessEnded { processOf(engine) });
        advance(50ms);
    }

    /// @return whether a new request is refused.
    auto refuses(std::uint64_t signature, std::vector<std::uint64_t> parts) -> bool
    {
        arriveWith(nextRequest, signature, std::move(parts));
        const auto refusal = last<Refuse>();
        if (!refusal)
            send(RequestCancelled { RequestId { nextRequest } });
        return refusal && refusal->reason == RefusalReason::CrashSuspect;
    }

    /// Has an engine answer a request completely.
    auto answer(std::uint64_t id, std::uint64_t signature, std::vector<std::uint64_t> parts = {}) -> void
    {
        arriveWith(id, signature, std::move(parts));
        prefilled(last<StartPrefill>().value());
        const auto decode = last<StartDecode>().value();
        started(decode);
        send(TokensEmitted { decode.request, decode.attempt, 30 });
        send(DecodeFinished { decode.request, decode.attempt, 30 });
    }
};

}

// Guards against a prompt part that goes on crashing engines because it has crashed several engines of a zone at once.
TEST_CASE("a part that crashed the engines of a zone at once is blocked when their processes have ended")
{
    ZoneHarness harness;
    harness.fill(std::nullopt, { sharedPart });
    harness.loseZone();
    CHECK_FALSE(harness.lastEver<UpdateBlockedPart>());
    harness.endProcesses();
    CHECK(harness.lastEver<UpdateBlockedPart>().value().part == sharedPart);
    CHECK(harness.refuses(nextRequest, { sharedPart, nextRequest }));
}

// Guards against copies of a crashing request that run again because they crashed several engines of a zone at once.
TEST_CASE("a signature that crashed the engines of a zone at once is blocked when their processes have ended")
{
    constexpr std::uint64_t signature = 55;
    ZoneHarness harness;
    harness.fill(signature, {});
    harness.loseZone();
    CHECK_FALSE(harness.lastEver<ReportCrashSignature>());
    harness.endProcesses();
    CHECK(harness.lastEver<ReportCrashSignature>().value().signature == signature);
    CHECK(harness.refuses(signature, {}));
}

// Guards against one crash that counts, while the others of its zone are still a possible failure of the network.
TEST_CASE("one ended process of a lost zone blocks nothing")
{
    ZoneHarness harness;
    harness.fill(std::nullopt, { sharedPart });
    harness.loseZone();
    harness.send(ProcessEnded { processOf(0) });
    harness.send(ProcessEnded { processOf(0) });
    harness.advance(50ms);
    CHECK_FALSE(harness.refuses(nextRequest, { sharedPart, nextRequest }));
}

// Guards against harmless parts that are blocked after the network of a zone has failed, when its engines end later, as
// at a planned restart.
TEST_CASE("engines that were cut off and answer again by the same processes convict no part")
{
    ZoneHarness harness;
    harness.fill(std::nullopt, { sharedPart });
    // Only engines of the zone are left to answer.
    harness.send(ReplicaChanged { .replica = ReplicaId { firstEngine + engineCount }, .role = PoolRole::Decode, .zone = ZoneId { 1 }, .state = ReplicaState::Gone, .process = processOf(engineCount) });
    harness.loseZone();
    harness.advance(1s);
    std::vector<StartDecode> again;
    for (std::uint64_t id = nextRequest + 1; id <= nextRequest + engineCount; ++id) {
        harness.arriveWith(id, id, {});
        harness.prefilled(harness.lastEver<StartPrefill>().value());
        again.push_back(harness.last<StartDecode>().value());
        harness.started(again.back());
    }
    harness.advance(entryTime);
    harness.endProcesses();
    CHECK_FALSE(harness.lastEver<UpdateBlockedPart>());
    CHECK_FALSE(harness.refuses(nextRequest, { sharedPart, nextRequest }));
}

// Guards against evidence that is dropped because the next process answers before its entry has arrived.
TEST_CASE("an answer shortly before the process is known to have ended is of the next process")
{
    ZoneHarness harness;
    harness.fill(std::nullopt, { sharedPart });
    harness.send(ReplicaChanged { .replica = ReplicaId { firstEngine + engineCount }, .role = PoolRole::Decode, .zone = ZoneId { 1 }, .state = ReplicaState::Gone, .process = processOf(engineCount) });
    harness.loseZone();
    harness.advance(1s);
    for (std::uint64_t id = nextRequest + 1; id <= nextRequest + engineCount; ++id) {
        harness.arriveWith(id, id, {});
        harness.prefilled(harness.lastEver<StartPrefill>().value());
        harness.started(harness.last<StartDecode>().value());
    }
    harness.advance(100ms);
    harness.endProcesses();
    CHECK(harness.lastEver<UpdateBlockedPart>().value().part == sharedPart);
}

// Guards against a part that is blocked after the end of one process, which was lost before when the network failed.
TEST_CASE("a process that was lost twice has crashed once")
{
    ZoneHarness harness;
    harness.fill(std::nullopt, { sharedPart });
    harness.send(ReplicaChanged { .replica = ReplicaId { firstEngine + engineCount }, .role = PoolRole::Decode, .zone = ZoneId { 1 }, .state = ReplicaState::Gone, .process = processOf(engineCount) });
    harness.loseZone();
    harness.advance(1s);
    harness.arriveWith(nextRequest + 1, nextRequest + 1, { sharedPart, nextRequest + 1 });
    harness.prefilled(harness.last<StartPrefill>().value());
    const auto decode = harness.last<StartDecode>().value();
    harness.started(decode);
    harness.advance(100ms);
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, 0 });
    harness.send(RequestCancelled { decode.request });
    harness.send(ProcessEnded { processOf(static_cast<std::uint32_t>(decode.decode) - firstEngine) });
    harness.advance(50ms);
    CHECK_FALSE(harness.lastEver<UpdateBlockedPart>());
}

// Guards against engines that are replaced long after a failure of the network, which convict what they ran then.
TEST_CASE("processes that end long after they were lost convict no part")
{
    ZoneHarness harness;
    harness.fill(std::nullopt, { sharedPart });
    harness.loseZone();
    harness.advance(6s);
    harness.endProcesses();
    CHECK_FALSE(harness.refuses(nextRequest, { sharedPart, nextRequest }));
}

// Guards against blaming a frequently sent request when all engines of a zone end together, as without power.
TEST_CASE("a signature that has been answered lately is not blamed for engines that ended together")
{
    constexpr std::uint64_t signature = 55;
    ZoneHarness harness;
    harness.answer(nextRequest + 1, signature);
    harness.fill(signature, {});
    harness.loseZone();
    harness.endProcesses();
    CHECK_FALSE(harness.lastEver<ReportCrashSignature>());
    CHECK_FALSE(harness.refuses(signature, {}));
}

// Guards against harmless parts that are forgotten, and blamed for engines that ended together, because many requests
// without parts have been answered since.
TEST_CASE("answers to requests without parts do not displace what is known about harmless parts")
{
    constexpr std::uint64_t firstAnswered = 10'000;
    constexpr std::uint64_t answers = 5'000;
    ZoneHarness harness;
    harness.answer(firstAnswered, firstAnswered, { sharedPart });
    for (auto id = firstAnswered + 1; id <= firstAnswered + answers; ++id)
        harness.answer(id, id);
    harness.fill(std::nullopt, { sharedPart });
    harness.loseZone();
    harness.endProcesses();
    CHECK_FALSE(harness.lastEver<UpdateBlockedPart>());
    CHECK_FALSE(harness.refuses(nextRequest, { sharedPart, nextRequest }));
}

// Guards against an instance that blocks harmless parts because peers' reports of a network failure arrive after it has
// recognised the failure.
TEST_CASE("reports about the prompts of a lost zone do not count before its processes have ended")
{
    ZoneHarness harness;
    harness.fill(std::nullopt, { sharedPart });
    harness.loseZone();
    for (std::uint32_t engine = 0; engine < engineCount; ++engine)
        harness.send(CrashedPromptReported { { .process = processOf(engine), .signature = 70 + engine, .parts = { 14, 80 + engine } } });
    harness.advance(50ms);
    CHECK_FALSE(harness.lastEver<UpdateBlockedPart>());
    harness.endProcesses();
    CHECK(harness.refuses(nextRequest, { 14, nextRequest }));
}
