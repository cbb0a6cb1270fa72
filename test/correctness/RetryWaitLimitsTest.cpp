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
