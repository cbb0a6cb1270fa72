#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A service whose requests are forwarded. Requests of kind 0 may not be repeated, those of kind 1 may.
auto forwardSettings() -> ShardSettings
{
    auto settings = testSettings();
    settings.kinds[0].repeatable = false;
    settings.kinds[0].maxAttempts = 1;
    settings.kinds[0].callerIdleTimeout = 2s;
    settings.kinds[1].maxAttempts = 2;
    settings.decodeMayPrefill = true;
    settings.memoryQuantile = 0.5;
    settings.retry = { .ratio = 0.2, .burst = 6, .isShared = false, .countsRejections = true };
    settings.instanceCount = 2;
    return settings;
}

/// A service whose decode engines are asked to reserve a slot first.
auto slotSettings() -> ShardSettings
{
    auto settings = forwardSettings();
    settings.reservesSlots = true;
    return settings;
}

/// @return a request of the second kind whose caller estimates 300 tokens of answer.
auto estimatedArrival(const ShardHarness& harness, std::uint32_t promptTokens) -> RequestArrived
{
    return { .request = RequestId { 1 }, .kind = KindId { 1 }, .promptTokens = promptTokens, .maxTokens = 2'000, .expectedTokens = 300, .deadline = harness.now + 60s, .signature = 1 };
}

auto addEngine(ShardHarness& harness, std::uint32_t id, PoolRole role, std::uint16_t zone = 0) -> void
{
    // The memory holds ten requests of 1,000 tokens.
    harness.send(ReplicaChanged { .replica = ReplicaId { id }, .role = role, .zone = ZoneId { zone }, .state = ReplicaState::Live, .slots = 40, .memoryBlocks = 750, .memoryBlockTokens = 16, .linkBytesPerSecond = 100'000'000'000 });
}

}

// Guards against refusing a request that a decode engine could prefill.
TEST_CASE("a decode engine prefills if there is no prefill engine")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Decode);
    harness.arrive(1);
    const auto start = harness.last<StartDecode>();
    REQUIRE(start);
    CHECK_FALSE(start->prefill);
    harness.started(*start);
    harness.send(DecodeFinished { start->request, start->attempt, 50 });
    CHECK(summarize(harness.shard).reservedMemoryBlocks == 0);
    CHECK(summarize(harness.shard).wastedPrefillTokens == 0);
}

// Load pattern: in a burst, prompts queue at one prefill engine while decode engines are idle.
TEST_CASE("a burst of prompts overflows to decode engines that prefill themselves")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Prefill);
    addEngine(harness, 2, PoolRole::Decode);
    addEngine(harness, 3, PoolRole::Decode);
    std::size_t split = 0;
    std::size_t direct = 0;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        harness.arrive(id);
        split += harness.count<StartPrefill>();
        direct += harness.count<StartDecode>();
    }
    CHECK(split >= 2);
    CHECK(direct >= 2);
    CHECK(split + direct == 8);
}

// Guards against a prefill result that repeatedly expires before the decode engine fetches it.
TEST_CASE("after a lost prefill result the decode engine prefills itself")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Prefill);
    addEngine(harness, 2, PoolRole::Decode);
    addEngine(harness, 3, PoolRole::Decode);
    harness.arrive(1, 1);
    harness.prefilled(*harness.last<StartPrefill>());
    auto decode = *harness.last<StartDecode>();
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::KvExpired, 0 });
    const auto second = harness.last<StartDecode>();
    REQUIRE(second);
    CHECK_FALSE(second->prefill);
}

// Guards against a request that runs on more engines than its kind allows.
TEST_CASE("the maximum attempts of a kind limit the engines on which a request runs")
{
    ShardHarness harness(forwardSettings());
    for (std::uint32_t id = 1; id <= 6; ++id)
        addEngine(harness, id, PoolRole::Decode);
    harness.arrive(1, 1);
    std::size_t runs = 0;
    while (const auto start = harness.last<StartDecode>()) {
        ++runs;
        harness.started(*start);
        harness.send(DecodeFailed { start->request, start->attempt, FailureKind::ServerError, 0 });
    }
    CHECK(runs == 2);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
}

// Guards against running a request again that may not be repeated.
TEST_CASE("a request that may not be repeated is not sent again after it may have run")
{
    const auto failure = GENERATE(FailureKind::ConnectionLost, FailureKind::TimedOut, FailureKind::ServerError);
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Decode);
    addEngine(harness, 2, PoolRole::Decode);
    harness.arrive(1, 0);
    const auto start = *harness.last<StartDecode>();
    harness.send(DecodeFailed { start.request, start.attempt, failure, 0 });
    CHECK_FALSE(harness.last<StartDecode>());
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
}

// Guards against a refusal that claims the request ran, and against giving up a request that an engine
// rejected.
TEST_CASE("a rejected request is retried on another engine and refused as not run")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Decode);
    addEngine(harness, 2, PoolRole::Decode);
    harness.arrive(1, 0);
    const auto first = *harness.last<StartDecode>();
    harness.send(DecodeFailed { first.request, first.attempt, FailureKind::Busy, 0 });
    const auto second = harness.last<StartDecode>();
    REQUIRE(second);
    CHECK(second->decode != first.decode);
    const auto rejectAll = [&] {
        while (const auto start = harness.last<StartDecode>())
            harness.send(DecodeFailed { start->request, start->attempt, FailureKind::Busy, 0 });
    };
    rejectAll();
    for (auto waited = 0; waited < 30 && !harness.lastEver<Refuse>(); ++waited) {
        harness.advance(100ms);
        rejectAll();
    }
    REQUIRE(harness.lastEver<Refuse>());
    CHECK(harness.lastEver<Refuse>()->outcome == ExecutionOutcome::NotRun);
    CHECK(harness.lastEver<Refuse>()->retryAfter > Duration::zero());
}

// Load pattern: all engines are full and reject the requests of every instance.
TEST_CASE("rejected attempts use the retry budget that instances share")
{
    auto settings = forwardSettings();
    settings.retry.burst = 24;
    settings.retry.isShared = true;
    ShardHarness harness(settings);
    for (std::uint32_t id = 1; id <= 40; ++id)
        addEngine(harness, id, PoolRole::Decode);
    std::size_t sends = 0;
    constexpr std::size_t requests = 100;
    for (std::uint64_t id = 1; id <= requests; ++id) {
        harness.now += 1s;
        harness.arrive(id, 1);
        while (const auto start = harness.last<StartDecode>()) {
            ++sends;
            harness.send(DecodeFailed { start->request, start->attempt, FailureKind::Busy, 0 });
        }
    }
    // The part of one of two instances is a quarter of the burst of 24; the budget starts empty.
    CHECK(sends <= requests + 6 + requests / 5);
    CHECK(sends > requests + requests / 10);
}

// Load pattern: instances that place requests at the same moment choose the same decode engine.
TEST_CASE("an engine filled by peers gets no request, and an engine that refused a slot is not asked again at once")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Prefill);
    addEngine(harness, 2, PoolRole::Decode);
    addEngine(harness, 3, PoolRole::Decode);
    harness.send(PeerUsage { { { ReplicaId { 2 }, 10, 745, 0 } } });
    harness.arrive(1);
    const auto start = *harness.last<StartPrefill>();
    CHECK(start.decode == ReplicaId { 3 });
    CHECK(start.slot.freeTokens >= 1'000);
    harness.send(SlotRefused { start.request, start.attempt, FailureKind::Busy });
    CHECK_FALSE(harness.last<StartPrefill>());
    CHECK_FALSE(harness.last<Refuse>());
    harness.send(PeerUsage {});
    const auto again = harness.last<StartPrefill>();
    REQUIRE(again);
    CHECK(again->decode == ReplicaId { 2 });
    CHECK(summarize(harness.shard).wastedPrefillTokens == 0);
}

// Load pattern: a burst fills the decode engines of one zone while those of another zone are idle.
TEST_CASE("a decode goes to another zone if the engines nearby have much more load")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Prefill);
    addEngine(harness, 2, PoolRole::Decode);
    addEngine(harness, 3, PoolRole::Decode, 1);
    harness.arrive(1);
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 2 });
    harness.send(PeerUsage { { { ReplicaId { 2 }, 5, 400, 0 } } });
    harness.arrive(2);
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 3 });
}

// Load pattern: in a burst of twice the capacity, overdue requests hold memory for seconds that
// requests on time need.
TEST_CASE("an overdue request leaves memory to requests on time")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Decode);
    harness.send(PeerUsage { { { ReplicaId { 1 }, 10, 740, 0 } } });
    harness.arrive(1, 1);
    CHECK_FALSE(harness.last<StartDecode>());
    harness.advance(2'500ms);
    // There is memory for two requests. The overdue one would leave less than a quarter free.
    harness.send(PeerUsage { { { ReplicaId { 1 }, 10, 580, 0 } } });
    CHECK_FALSE(harness.last<StartDecode>());
    harness.arrive(2, 1);
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.last<StartDecode>()->request == RequestId { 2 });
    harness.send(PeerUsage {});
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.last<StartDecode>()->request == RequestId { 1 });
}

// Load pattern: callers close a stream that shows no token for some time. A request that starts after
// that is wasted work.
TEST_CASE("a request is refused before its caller's idle timeout")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Decode);
    harness.send(PeerUsage { { { ReplicaId { 1 }, 40, 750, 0 } } });
    harness.arrive(1, 0);
    for (auto waited = 0; waited < 20 && !harness.lastEver<Refuse>(); ++waited)
        harness.advance(100ms);
    REQUIRE(harness.lastEver<Refuse>());
    CHECK(harness.lastEver<Refuse>()->outcome == ExecutionOutcome::NotRun);
}

// Guards against reserving memory for the longest possible answers while the kind's lengths are not
// known.
TEST_CASE("the caller's estimate is used until the lengths of a kind are known")
{
    ShardHarness harness(forwardSettings());
    addEngine(harness, 1, PoolRole::Prefill);
    addEngine(harness, 2, PoolRole::Decode);
    harness.send(estimatedArrival(harness, 1'000));
    // The prompt of 1,000 tokens and three answers of 300.
    CHECK(harness.last<StartPrefill>()->slot == SlotMemory { 1'000, 1'900 });
}

// Load pattern: in a burst, decode engines are full and waiting requests ask them for a slot one after
// the other. Guards against reporting these requests to peers as usage, and against counting them as
// prefill work, which would take engines away from decode when decode engines are scarce.
TEST_CASE("a request that waits for a slot does not count as usage")
{
    ShardHarness harness(slotSettings());
    addEngine(harness, 1, PoolRole::Prefill);
    addEngine(harness, 2, PoolRole::Decode);
    harness.arrive(1);
    const auto start = *harness.last<StartPrefill>();
    CHECK(ownUsage(harness.shard).empty());
    CHECK(roleDemand(harness.shard).prefillWork == 0);
    CHECK(roleDemand(harness.shard).decodeWork > 0);
    harness.send(SlotRefused { start.request, start.attempt, FailureKind::Busy });
    CHECK(ownUsage(harness.shard).empty());
    harness.advance(300ms);
    const auto again = *harness.last<StartPrefill>();
    harness.send(SlotReserved { again.request, again.attempt });
    CHECK(ownUsage(harness.shard).size() == 2);
    CHECK(roleDemand(harness.shard).prefillWork == 1);
    harness.prefilled(again);
    harness.started(*harness.last<StartDecode>());
    harness.send(DecodeFinished { again.request, again.attempt, 50 });
    CHECK(ownUsage(harness.shard).empty());
}

// Load pattern: in a burst, prefill engines are behind and decode engines are full. Guards against
// requests without a prefill result that wait for seconds in the queue of a full engine while other
// engines have free slots.
TEST_CASE("a decode without a prefill result asks for a slot first")
{
    ShardHarness harness(slotSettings());
    addEngine(harness, 1, PoolRole::Decode);
    addEngine(harness, 2, PoolRole::Decode);
    harness.arrive(1);
    const auto first = *harness.last<StartDecode>();
    REQUIRE(first.slot);
    CHECK(first.slot->freeTokens > 100);
    CHECK(ownUsage(harness.shard).empty());
    harness.send(SlotRefused { first.request, first.attempt, FailureKind::Busy });
    const auto second = harness.last<StartDecode>();
    REQUIRE(second);
    CHECK(second->decode != first.decode);
    harness.send(SlotReserved { second->request, second->attempt });
    CHECK(ownUsage(harness.shard).size() == 1);
    harness.started(*second);
    harness.send(DecodeFinished { second->request, second->attempt, 50 });
    CHECK(ownUsage(harness.shard).empty());
    CHECK(summarize(harness.shard).wastedPrefillTokens == 0);
}

// Guards against a second slot for a prefill result that already has one, which would take memory
// twice.
TEST_CASE("a decode from a prefill result asks for no second slot")
{
    ShardHarness harness(slotSettings());
    addEngine(harness, 1, PoolRole::Prefill);
    addEngine(harness, 2, PoolRole::Decode);
    harness.arrive(1);
    const auto start = *harness.last<StartPrefill>();
    harness.send(SlotReserved { start.request, start.attempt });
    harness.prefilled(start);
    CHECK_FALSE(harness.last<StartDecode>()->slot);
}

// Load pattern: decode engines are nearly full in a burst. Guards against slots that hold memory for answers which
// have not grown yet: the engine preempts running answers for it.
TEST_CASE("a slot is requested for the prompt, where the engine has room for the growth of answers")
{
    ShardHarness harness(slotSettings());
    addEngine(harness, 1, PoolRole::Decode);
    harness.send(estimatedArrival(harness, 1'000));
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.last<StartDecode>()->slot == SlotMemory { 1'000, 1'900 });
}

// Guards against a request that never starts because its slot would need more memory than any engine
// has.
TEST_CASE("a slot is never requested for more memory than the engine has")
{
    ShardHarness harness(slotSettings());
    addEngine(harness, 1, PoolRole::Decode);
    harness.send(estimatedArrival(harness, 11'900));
    REQUIRE(harness.last<StartDecode>());
    // Half of the 100 tokens beside the prompt is left to other answers.
    CHECK(harness.last<StartDecode>()->slot == SlotMemory { 11'900, 11'950 });
}

namespace {

/// Refuses every slot that the request asks for until the request is refused.
/// @return the time until then, or `maxWait` if it is not refused.
auto timeUntilRefused(Duration deadline, Duration maxWait) -> Duration
{
    auto settings = slotSettings();
    settings.refuseOverdue = true;
    ShardHarness harness(settings);
    addEngine(harness, 1, PoolRole::Decode);
    const auto startedAt = harness.now;
    harness.send(RequestArrived { .request = RequestId { 1 }, .kind = KindId { 0 }, .promptTokens = 1'000, .maxTokens = 100, .deadline = harness.now + deadline, .signature = 1 });
    while (harness.now - startedAt < maxWait && !harness.lastEver<Refuse>()) {
        if (const auto start = harness.last<StartDecode>())
            harness.send(SlotRefused { start->request, start->attempt, FailureKind::Busy });
        harness.advance(10ms);
    }
    if (const auto refusal = harness.lastEver<Refuse>()) {
        CHECK(refusal->outcome == ExecutionOutcome::NotRun);
        // The kind allows 60 s. A burst is likely to be over after half of a quarter of that.
        CHECK(refusal->retryAfter >= 7s);
    }
    return harness.now - startedAt;
}

}

// Load pattern: a burst that is longer than the engines can serve in time. Guards against requests that
// keep waiting after they have missed their target, and then take memory from requests that can still
// meet theirs.
TEST_CASE("a waiting request that misses its target is refused with a delay beyond the burst")
{
    CHECK(timeUntilRefused(60s, 1500ms) <= 510ms);
}

// Guards against refusing a caller with a retry delay for the second time, which would end its request.
TEST_CASE("a request that was refused before keeps waiting after its target")
{
    CHECK(timeUntilRefused(40s, 1'200ms) >= 1'200ms);
}
