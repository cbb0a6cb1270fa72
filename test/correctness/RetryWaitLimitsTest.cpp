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
