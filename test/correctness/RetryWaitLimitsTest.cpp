#include "ShardHarness.h"
#include "ShardState.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto repeatableSettings() -> ShardSettings
{
    auto settings = testSettings();
    settings.kinds[0].repeatable = true;
    settings.kinds[0].maxAttempts = 4;
    return settings;
}

}

// Guards against calls beyond the budget, and against one request that takes every retry: where rejections take
// retries, those of an interrupted request were not limited, and counters of 8 bits wrapped.
TEST_CASE("an interrupted request that is rejected many times stays within the retry budget")
{
    const auto burst = GENERATE(250.0, 253.0, 254.0, 255.0, 256.0, 257.0, 300.0);
    auto settings = repeatableSettings();
    settings.decodeMayPrefill = true;
    settings.retry = { .ratio = 0, .burst = burst, .isShared = false, .countsRejections = true };
    ShardHarness harness(std::move(settings));
    for (std::uint32_t id = 1; id <= 60; ++id)
        harness.replica(id, PoolRole::Decode, 4);
    harness.arrive(1);
    auto start = harness.last<StartDecode>();
    harness.started(*start);
    harness.send(DecodeFailed { start->request, start->attempt, FailureKind::ServerError, 5 });
    const auto failedAt = harness.now;
    double repeated = 0;
    while (harness.now < failedAt + 50s) {
        start = harness.last<StartDecode>();
        if (start) {
            ++repeated;
            harness.send(DecodeFailed { start->request, start->attempt, FailureKind::Busy, 5 });
        } else {
            harness.advance(10ms);
        }
    }
    CAPTURE(repeated);
    CHECK(repeated <= burst);
    constexpr double maxRejections = 17;
    CHECK(repeated <= maxRejections);
    CHECK(harness.lastEver<Refuse>());
}

// Guards against prefills beyond the budget: with free rejections an interrupted request may prefill more than 255
// times, and the counter of its calls wrapped.
TEST_CASE("an interrupted request whose prefills are wasted by rejections stays within the retry budget")
{
    constexpr std::size_t burst = 300;
    constexpr std::size_t firstPrefills = 1;
    auto settings = repeatableSettings();
    settings.retry = { .ratio = 0, .burst = burst };
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 4);
    for (std::uint32_t id = 2; id <= 60; ++id)
        harness.replica(id, PoolRole::Decode, 4);
    const auto first = harness.startDecode(1);
    harness.send(DecodeFailed { first.request, first.attempt, FailureKind::ServerError, 5 });
    const auto failedAt = harness.now;
    std::size_t prefills = firstPrefills;
    while (harness.now < failedAt + 50s) {
        const auto start = harness.last<StartPrefill>();
        if (!start) {
            harness.advance(100ms);
            continue;
        }
        ++prefills;
        harness.send(PrefillDone { start->request, start->attempt, harness.now + 10ms, 0 });
        const auto decode = harness.last<StartDecode>().value();
        harness.now += 20ms;
        harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::Busy, 5 });
    }
    CHECK(prefills > 250);
    CHECK(prefills <= burst + firstPrefills);
}

// Guards against a stream that is cut because its engine was silent: the silent attempt is ended for a replacement that
// fails, although it could have gone on.
TEST_CASE("a stream that was moved from a silent engine is not cut when its new engine fails")
{
    auto settings = repeatableSettings();
    settings.reservesSlots = true;
    settings.decodeMayPrefill = true;
    settings.retry = { .ratio = 0.2, .burst = 1, .isShared = false, .countsRejections = true };
    ShardHarness harness(std::move(settings));
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1);
    const auto first = harness.last<StartDecode>().value();
    harness.send(SlotReserved { first.request, first.attempt });
    harness.started(first);
    harness.replica(3, PoolRole::Decode, 1);
    harness.advance(1s);
    harness.send(AttemptSilent { first.request, first.attempt, 7 });
    const auto reservation = harness.last<ReserveReplacement>().value();
    harness.send(ReplacementReserved { first.request, reservation.number, 7 });
    const auto second = harness.last<StartDecode>().value();
    harness.advance(10ms);
    harness.send(DecodeFailed { second.request, second.attempt, FailureKind::ServerError, 7 });
    // 59 s are left.
    CHECK_FALSE(harness.lastEver<Refuse>());
    CHECK_FALSE(harness.last<StartDecode>());
    SECTION("the budget earns a retry")
    {
        harness.replica(4, PoolRole::Decode, 20);
        for (std::uint64_t request = 2; request <= 6; ++request) {
            CHECK(harness.last<StartDecode>().value_or(StartDecode {}).request != first.request);
            harness.arrive(request);
        }
        const auto starts = harness.count<StartDecode>();
        CHECK(starts == 2);
        const auto isInterrupted = [&](const DecisionAction& action) {
            const auto* start = std::get_if<StartDecode>(&action);
            return start && start->request == first.request;
        };
        const auto found = std::ranges::find_if(harness.actions, isInterrupted);
        REQUIRE(found != harness.actions.end());
        const auto& third = std::get<StartDecode>(*found);
        CHECK(third.attempt == 3);
        CHECK(third.resumeFrom == 7);
    }
    SECTION("the budget earns none until the deadline")
    {
        harness.advance(58s);
        CHECK_FALSE(harness.lastEver<Refuse>());
        harness.advance(2s);
        REQUIRE(harness.last<Refuse>());
        CHECK(harness.last<Refuse>()->reason == RefusalReason::RetriesExhausted);
    }
}

// Guards against attempts beyond the limit of the kind.
TEST_CASE("a stream that was moved from a silent engine has no more attempts than its kind allows")
{
    auto settings = repeatableSettings();
    settings.kinds[0].maxAttempts = 2;
    settings.decodeMayPrefill = true;
    ShardHarness harness(std::move(settings));
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1);
    const auto first = harness.last<StartDecode>().value();
    harness.started(first);
    harness.replica(3, PoolRole::Decode, 1);
    harness.advance(1s);
    harness.send(AttemptSilent { first.request, first.attempt, 7 });
    const auto second = harness.last<StartDecode>().value();
    harness.send(DecodeFailed { second.request, second.attempt, FailureKind::ServerError, 7 });
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->reason == RefusalReason::RetriesExhausted);
}

// Guards against a wait that cannot end: the retry that the failure has taken expires after 2 s, and two are more than
// the budget can hold.
TEST_CASE("an interrupted request that has waited for 2 s still starts when the budget earns a retry")
{
    auto settings = repeatableSettings();
    settings.retry = { .ratio = 0.2, .burst = 1 };
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1);
    harness.prefilled(*harness.last<StartPrefill>());
    const auto attempt = *harness.last<StartDecode>();
    harness.replica(3, PoolRole::Decode, 100);
    harness.advance(500ms);
    harness.send(DecodeFailed { attempt.request, attempt.attempt, FailureKind::ServerError, 5 });
    CHECK_FALSE(harness.lastEver<Refuse>());
    for (std::uint64_t request = 2; request <= 52; ++request) {
        harness.advance(500ms);
        harness.arrive(request);
    }
    const auto isResumed = std::ranges::any_of(harness.all, [](const DecisionAction& action) {
        const auto* start = std::get_if<StartPrefill>(&action);
        return start && start->request == RequestId { 1 } && start->attempt > 1;
    });
    CHECK(isResumed);
}

// Guards against a wait that cannot end: a request that has taken no retry at its failure needs two at once, which the
// budget never has.
TEST_CASE("a request that needs more retries than the budget can hold takes them one by one")
{
    auto settings = repeatableSettings();
    settings.retry = { .ratio = 0.2, .burst = 1 };
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(2, PoolRole::Decode, 1);
    const auto first = harness.startDecode(1);
    harness.replica(3, PoolRole::Decode, 1);
    harness.advance(1s);
    // Only a decode replica that may prefill itself can replace the attempt with one retry.
    updateSettings(harness.shard, [&] {
        auto changed = repeatableSettings();
        changed.decodeMayPrefill = true;
        changed.retry = { .ratio = 0.2, .burst = 1 };
        return changed;
    }());
    harness.send(AttemptSilent { first.request, first.attempt, 7 });
    const auto second = harness.last<StartDecode>().value();
    auto settingsAfter = repeatableSettings();
    settingsAfter.retry = { .ratio = 0.2, .burst = 1 };
    updateSettings(harness.shard, std::move(settingsAfter));
    harness.replica(4, PoolRole::Decode, 100);
    harness.send(DecodeFailed { second.request, second.attempt, FailureKind::ServerError, 7 });
    CHECK_FALSE(harness.lastEver<Refuse>());
    for (std::uint64_t request = 2; request <= 40; ++request) {
        harness.advance(500ms);
        harness.arrive(request);
    }
    const auto isResumed = std::ranges::any_of(harness.all, [](const DecisionAction& action) {
        const auto* start = std::get_if<StartPrefill>(&action);
        return start && start->request == RequestId { 1 } && start->attempt > 2;
    });
    CHECK(isResumed);
}

// Guards against a request that waits until its deadline for a retry that its instance never gets, because so many
// instances share the budget that its part is below one retry.
TEST_CASE("an interrupted request whose instance gets no retries does not wait for one")
{
    auto settings = repeatableSettings();
    settings.retry = { .ratio = 0.2, .burst = 4, .isShared = true };
    settings.instanceCount = 1;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(2, PoolRole::Decode, 1);
    const auto attempt = harness.startDecode(1);
    // Another replica of the version is full.
    harness.replica(5, PoolRole::Decode, 1);
    harness.startDecode(50);
    for (std::uint64_t request = 51; request < 60; ++request)
        harness.arrive(request);
    harness.replica(2, PoolRole::Decode, 1, ReplicaState::Leaving);
    settings.instanceCount = 60;
    SECTION("it has taken the retries that it needs")
    {
        harness.send(DecodeFailed { attempt.request, attempt.attempt, FailureKind::ServerError, 5 });
        settings.decodeMayPrefill = true;
        updateSettings(harness.shard, settings);
        harness.advance(3s);
        CHECK_FALSE(harness.lastEver<Refuse>());
        harness.replica(3, PoolRole::Decode, 100);
        const auto isResumed = std::ranges::any_of(harness.actions, [](const DecisionAction& action) {
            const auto* start = std::get_if<StartDecode>(&action);
            return start && start->request == RequestId { 1 };
        });
        CHECK(isResumed);
    }
    SECTION("it lacks one")
    {
        harness.send(DecodeFailed { attempt.request, attempt.attempt, FailureKind::ServerError, 5 });
        CHECK_FALSE(harness.lastEver<Refuse>());
        updateSettings(harness.shard, settings);
        harness.replica(3, PoolRole::Decode, 100);
        REQUIRE(harness.lastEver<Refuse>());
        CHECK(harness.lastEver<Refuse>()->request == RequestId { 1 });
        CHECK(harness.lastEver<Refuse>()->reason == RefusalReason::RetriesExhausted);
    }
}

// Guards against a wait for the retry budget that counts as a slow start if more than 64 requests wait.
TEST_CASE("a wait of many requests for the retry budget does not count as a slow start")
{
    constexpr std::uint64_t requests = 70;
    auto settings = repeatableSettings();
    settings.decodeMayPrefill = true;
    settings.retry = { .ratio = 0, .burst = requests };
    ShardHarness harness(std::move(settings));
    harness.replica(2, PoolRole::Decode, requests);
    std::vector<StartDecode> running;
    for (std::uint64_t id = 1; id <= requests; ++id) {
        harness.arrive(id);
        running.push_back(harness.last<StartDecode>().value());
        harness.started(running.back());
    }
    harness.replica(3, PoolRole::Decode, 1);
    harness.arrive(200);
    harness.replica(2, PoolRole::Decode, requests, ReplicaState::Leaving);
    for (const auto& decode : running)
        harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ServerError, 5 });
    CHECK_FALSE(harness.lastEver<Refuse>());
    harness.advance(3s);
    harness.replica(4, PoolRole::Decode, 200);
    CHECK(summarize(harness.shard).queued == requests);
    harness.advance(30s);
    harness.arrive(201);
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.shard.state->startInterval.interval(harness.now) == Duration::zero());
}

// Guards against a wait for the retry budget that is reported as demand for decode engines, once for each instance.
TEST_CASE("a wait for the retry budget is no demand for decode engines")
{
    auto settings = repeatableSettings();
    settings.decodeMayPrefill = true;
    settings.instanceCount = 61;
    settings.retry = { .ratio = 0, .burst = 1 };
    ShardHarness harness(std::move(settings));
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1);
    const auto decode = harness.last<StartDecode>().value();
    harness.started(decode);
    // Another replica of the version is full.
    harness.replica(5, PoolRole::Decode, 1);
    harness.arrive(50);
    harness.started(harness.last<StartDecode>().value());
    harness.replica(2, PoolRole::Decode, 1, ReplicaState::Leaving);
    const auto running = roleDemand(harness.shard).decodeWork;
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ServerError, 5 });
    // Until its retry has expired the request waits for capacity.
    CHECK(roleDemand(harness.shard).decodeWork > running);
    harness.advance(3s);
    harness.replica(3, PoolRole::Decode, 20);
    REQUIRE_FALSE(harness.last<StartDecode>());
    REQUIRE(summarize(harness.shard).queued == 1);
    CHECK(roleDemand(harness.shard).decodeWork == running);
}
