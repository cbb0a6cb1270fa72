#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <set>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto refusals(const ShardHarness& harness) -> std::vector<Refuse>
{
    std::vector<Refuse> refusals;
    for (const auto& action : harness.all) {
        if (const auto* refusal = std::get_if<Refuse>(&action))
            refusals.push_back(*refusal);
    }
    return refusals;
}

/// @return a shard whose only slot is in use during the whole test.
auto withOccupiedSlot(ShardSettings settings = testSettings()) -> ShardHarness
{
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 1);
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1);
    return harness;
}

}

// Guards against refused callers that all retry at the same moment.
TEST_CASE("retry delays have jitter that depends on the seed")
{
    const auto delays = [](std::uint64_t seed) {
        auto settings = testSettings();
        settings.seed = seed;
        ShardHarness harness(settings);
        std::vector<Duration> delays;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            harness.arrive(id);
            delays.push_back(harness.last<Refuse>()->retryAfter);
        }
        return delays;
    };
    const auto first = delays(1);
    CHECK(std::set<Duration>(first.begin(), first.end()).size() > 190);
    const auto [low, high] = std::minmax_element(first.begin(), first.end());
    CHECK(*high - *low > 800ms);
    CHECK(first != delays(2));
}

// Guards against overdue requests that delay requests on time.
TEST_CASE("a request on time starts before one that missed its first-token target")
{
    auto harness = withOccupiedSlot();
    harness.arrive(2);
    harness.advance(600ms);
    harness.arrive(3);
    const auto running = *harness.lastEver<StartPrefill>();
    harness.prefilled(running);
    const auto decode = *harness.lastEver<StartDecode>();
    harness.started(decode);
    harness.send(DecodeFinished { decode.request, decode.attempt, 5 });
    REQUIRE(harness.last<StartPrefill>());
    CHECK(harness.last<StartPrefill>()->request == RequestId { 3 });
    CHECK(refusals(harness).empty());
}

// Guards against a caller that learns only at its deadline that its request cannot be served.
TEST_CASE("a waiting request is refused as not run once it cannot meet its deadline")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 1);
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1, 2);
    harness.prefilled(*harness.last<StartPrefill>());
    const auto running = *harness.last<StartDecode>();
    harness.started(running);
    harness.arrive(2, 1);
    for (std::uint32_t second = 1; second < 60; ++second) {
        harness.advance(1s);
        harness.send(TokensEmitted { running.request, running.attempt, second });
    }
    const auto all = refusals(harness);
    REQUIRE(all.size() == 1);
    CHECK(all.back().request == RequestId { 2 });
    CHECK(all.back().reason == RefusalReason::Overloaded);
    CHECK(all.back().outcome == ExecutionOutcome::NotRun);
}

// Guards against a queue that grows beyond what can be answered in a lasting overload.
TEST_CASE("in a lasting overload requests that cannot meet their deadline are refused early")
{
    auto harness = withOccupiedSlot();
    std::uint64_t id = 100;
    for (int step = 0; step < 2'000; ++step) {
        harness.now += 10ms;
        harness.arrive(id++);
    }
    CHECK(refusals(harness).size() > 1'500);
    CHECK(summarize(harness.shard).queued < 300);
    for (const auto& refusal : refusals(harness))
        CHECK(refusal.outcome == ExecutionOutcome::NotRun);
}

// Guards against a request that waits for more memory than any backend server has.
TEST_CASE("a request that is too large for all backend servers is refused at once")
{
    auto harness = withOccupiedSlot();
    harness.arrive(2, 0, 0, 3'000'000);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->reason == RefusalReason::TooLarge);
}

// Guards against refusing all requests of a kind with a large token limit, because no answer could show
// that its answers are short.
TEST_CASE("the first requests of a kind with a large token limit are not refused")
{
    auto settings = testSettings();
    settings.kinds[0].deadline = 10s;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 20);
    harness.send(RequestArrived {
        .request = RequestId { 1 },
        .kind = KindId { 0 },
        .customer = CustomerId { 0 },
        .promptTokens = 300,
        .maxTokens = 4'096,
        .deadline = harness.now + 10s,
        .prefixBlocks = {},
        .signature = 1,
    });
    CHECK_FALSE(harness.last<Refuse>());
    CHECK(harness.last<StartPrefill>());
}

namespace {

/// Sends a request that leaves little time for its answer.
auto arriveWithShortDeadline(ShardHarness& harness, std::uint64_t id) -> void
{
    harness.send(RequestArrived { .request = RequestId { id }, .kind = KindId { 0 }, .promptTokens = 100, .maxTokens = 1'000, .deadline = harness.now + 1'500ms, .signature = id });
}

/// Runs one request until it finishes.
/// @param gap time between two tokens.
auto runThrough(ShardHarness& harness, std::uint64_t id, Duration gap) -> void
{
    arriveWithShortDeadline(harness, id);
    harness.prefilled(*harness.last<StartPrefill>());
    const auto decode = *harness.last<StartDecode>();
    harness.started(decode);
    harness.now += gap * 60;
    harness.send(DecodeFinished { decode.request, decode.attempt, 60 });
}

}

// Guards against an instance that refuses all work because it counted the time until stalled streams
// were detected as decode time (found by the soak test, seed 121).
TEST_CASE("failed streams do not change the estimated token rate")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 8);
    harness.replica(2, PoolRole::Decode, 8);
    for (std::uint64_t id = 1; id <= 40; ++id)
        runThrough(harness, id, 2ms);
    for (std::uint64_t id = 41; id <= 50; id += 2) {
        arriveWithShortDeadline(harness, id);
        harness.prefilled(*harness.last<StartPrefill>());
        const auto stalled = *harness.last<StartDecode>();
        harness.started(stalled);
        harness.now += 1'200ms;
        harness.send(DecodeFailed { stalled.request, stalled.attempt, FailureKind::TimedOut, 20 });
        harness.send(RequestCancelled { stalled.request });
        harness.now += 1s;
        runThrough(harness, id + 1, 2ms);
    }
    harness.now += 10s;
    // The first request is work in progress, so the estimates apply to the second.
    arriveWithShortDeadline(harness, 61);
    CHECK(harness.last<StartPrefill>());
    arriveWithShortDeadline(harness, 62);
    CHECK(harness.last<StartPrefill>());
}

// Guards against estimates that refuse all work and therefore are never corrected.
TEST_CASE("an instance without work in progress starts a request despite low estimated rates")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 8);
    harness.replica(2, PoolRole::Decode, 8);
    for (std::uint64_t id = 1; id <= 40; ++id)
        runThrough(harness, id, 2ms);
    for (std::uint64_t id = 101; id <= 200; ++id) {
        harness.arrive(id, 2);
        harness.prefilled(*harness.last<StartPrefill>());
        const auto slow = *harness.last<StartDecode>();
        harness.started(slow);
        harness.now += 5s;
        harness.send(TokensEmitted { slow.request, slow.attempt, 10 });
        harness.send(DecodeFinished { slow.request, slow.attempt, 10 });
    }
    arriveWithShortDeadline(harness, 301);
    CHECK(harness.last<StartPrefill>());
}
