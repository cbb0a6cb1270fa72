#include "HeadroomScale.h"
#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto starts(const ShardHarness& harness) -> std::ptrdiff_t
{
    return std::count_if(harness.all.begin(), harness.all.end(), [](const DecisionAction& action) { return std::holds_alternative<StartPrefill>(action); });
}

/// @return how many of 60 batch requests start on 50 decode slots, after the given number of lookups,
/// each of which got its first token after the given time.
auto batchStarts(int lookups, Duration firstToken) -> std::ptrdiff_t
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 200);
    harness.replica(2, PoolRole::Decode, 50);
    for (int id = 1; id <= lookups; ++id) {
        harness.arrive(static_cast<std::uint64_t>(id), 0, 0, 100);
        const auto prefill = *harness.last<StartPrefill>();
        harness.now += firstToken;
        harness.prefilled(prefill);
        const auto decode = *harness.last<StartDecode>();
        harness.started(decode);
        harness.send(DecodeFinished { decode.request, decode.attempt, 100 });
    }
    const auto before = starts(harness);
    for (std::uint64_t id = 1'001; id <= 1'060; ++id)
        harness.arrive(id, 2, 0, 100);
    return starts(harness) - before;
}

/// @return how many of 20 batch requests with the given prompt start on a decode replica of 1,000
/// memory blocks of 2,000 tokens, if the given number of instances place on it.
auto longBatchStarts(std::uint32_t instances, std::uint32_t promptTokens) -> std::ptrdiff_t
{
    auto settings = testSettings();
    settings.instanceCount = instances;
    // A small KV cache, so that the link does not limit the starts.
    settings.kvBytesPerToken = 1;
    ShardHarness harness(std::move(settings));
    for (std::uint32_t id = 1; id <= 20; ++id)
        harness.replica(id, PoolRole::Prefill, 1);
    harness.replica(100, PoolRole::Decode, 50);
    for (std::uint64_t id = 1; id <= 20; ++id)
        harness.arrive(id, 2, 0, promptTokens);
    return starts(harness);
}

}

// Guards against wasted prefills of long prompts because another instance has taken the memory, and
// against prompts of more than half of the memory that never start.
TEST_CASE("batch work leaves memory for a second request of its size if instances share replicas")
{
    constexpr std::uint32_t tenth = 200'000;
    CHECK(longBatchStarts(1, tenth) == 9);
    CHECK(longBatchStarts(7, tenth) == 8);
    constexpr std::uint32_t threeFifths = 1'200'000;
    CHECK(longBatchStarts(7, threeFifths) == 1);
}

// Guards against lookups that wait for a slot while long answers occupy all of them.
TEST_CASE("batch work leaves slots free for lookups, and more of them after late lookups")
{
    const auto withoutLookups = batchStarts(0, 0ms);
    const auto inTime = batchStarts(30, 200ms);
    const auto late = batchStarts(30, 600ms);
    CHECK(withoutLookups == 50);
    CHECK(inTime < withoutLookups);
    CHECK(late < inTime);
}

// Guards against slots that stay empty for lookups that are on time, and against a scale without
// bounds.
TEST_CASE("the scale of the slot headroom is bounded and returns to its initial value")
{
    HeadroomScale scale;
    const auto start = scale.value();
    for (int request = 0; request < 100; ++request)
        scale.observe(true);
    CHECK(scale.value() == 3 * start);
    for (int request = 0; request < 1'000; ++request)
        scale.observe(false);
    CHECK(scale.value() == start);
}
