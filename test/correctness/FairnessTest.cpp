#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <map>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto oneSlot(ShardSettings settings = testSettings()) -> ShardHarness
{
    ShardHarness harness(std::move(settings));
    harness.replica(1, PoolRole::Prefill, 1);
    harness.replica(2, PoolRole::Decode, 1);
    return harness;
}

/// Finishes the one running request.
/// @return the request that starts next.
auto next(ShardHarness& harness) -> std::optional<RequestId>
{
    const auto running = *harness.lastEver<StartPrefill>();
    harness.prefilled(running);
    const auto decode = *harness.lastEver<StartDecode>();
    harness.started(decode);
    harness.now += 10ms;
    harness.send(DecodeFinished { decode.request, decode.attempt, 20 });
    const auto start = harness.lastEver<StartPrefill>();
    if (start->request == running.request)
        return std::nullopt;
    return start->request;
}

}

// Guards against a short lookup that waits for the long batch requests before it.
TEST_CASE("an interactive request starts before batch requests that arrived first")
{
    auto harness = oneSlot();
    for (std::uint64_t id = 1; id <= 5; ++id)
        harness.arrive(id, 2, 0, 50'000);
    harness.arrive(6, 0);
    CHECK(next(harness) == RequestId { 6 });
}

// Guards against a burst of one customer that starves the other customers.
TEST_CASE("customers are served in proportion to their weights")
{
    auto settings = testSettings();
    settings.customerWeights = { 3, 1 };
    auto harness = oneSlot(settings);
    for (std::uint64_t id = 1; id <= 80; ++id)
        harness.arrive(id, 0, id <= 40 ? 0 : 1);
    std::map<bool, int> served;
    for (int step = 0; step < 40; ++step)
        ++served[static_cast<std::uint64_t>(*next(harness)) <= 40];
    CHECK(served[true] >= 28);
    CHECK(served[false] >= 8);
}

// Guards against batch work that starves while urgent work keeps arriving.
TEST_CASE("ageing bounds the wait of a batch request")
{
    auto harness = oneSlot();
    harness.arrive(1, 0);
    harness.arrive(2, 2);
    harness.now += 80s;
    std::uint64_t id = 10;
    for (int step = 0; step < 12; ++step) {
        harness.arrive(id++, 0);
        harness.arrive(id++, 0);
        if (next(harness) == RequestId { 2 }) {
            SUCCEED();
            return;
        }
    }
    FAIL("the batch request did not start within 12 starts");
}

// Guards against a customer whose waiting requests fill the memory of the instance.
TEST_CASE("a customer's queue limit counts all its kinds")
{
    auto settings = testSettings();
    settings.customerQueueLimits = { 2 };
    auto harness = oneSlot(settings);
    harness.arrive(1, 0);
    harness.arrive(2, 0);
    harness.arrive(3, 1);
    harness.arrive(4, 2);
    const auto refusal = harness.last<Refuse>();
    REQUIRE(refusal);
    CHECK(refusal->request == RequestId { 4 });
    CHECK(refusal->reason == RefusalReason::QueueFull);
    CHECK(refusal->outcome == ExecutionOutcome::NotRun);
}
