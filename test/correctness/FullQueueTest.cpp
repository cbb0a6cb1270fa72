#include "LoadRun.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <numeric>
#include <set>

using namespace jayhold;
using namespace jayhold::test;

// Load: one customer with many times its usual load, whose queue is full. Guards against an urgent request that is refused
// although less urgent ones of the same customer wait, and against other customers' requests that are refused for it.
TEST_CASE("a full queue of a customer refuses the request whose refusal costs least")
{
    auto settings = LoadRun::settings();
    settings.customerQueueLimits[0] = 3;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 1);
    harness.replica(2, PoolRole::Decode, 1);
    harness.arrive(1, 1);
    for (std::uint64_t id = 2; id <= 4; ++id)
        harness.arrive(id, 1);
    harness.arrive(5, 1, 1);
    harness.arrive(6, 0);
    const auto displaced = harness.last<Refuse>();
    REQUIRE(displaced);
    CHECK(displaced->request == RequestId { 4 });
    CHECK(displaced->reason == RefusalReason::QueueFull);
    CHECK(displaced->outcome == ExecutionOutcome::NotRun);
    CHECK(displaced->inputs.rank == RequestRank { 1, 2 });
    CHECK(displaced->inputs.displacedBy == RequestRank { 1, 0 });
    // One that costs least itself is refused as before.
    harness.arrive(7, 1);
    const auto refused = harness.last<Refuse>();
    REQUIRE(refused);
    CHECK(refused->request == RequestId { 7 });
    CHECK_FALSE(refused->inputs.displacedBy);
    CHECK(summarize(harness.shard).queued == 4);
}

// Load: many requests of one customer and one instant beyond its queue limit. Guards against refused requests that depend on
// the order of arrival.
TEST_CASE("the requests that a full queue refuses do not depend on the order of arrival")
{
    rc::prop("any rotation", [] {
        const auto limit = *rc::gen::inRange<std::uint32_t>(1, 8);
        const auto kinds = *rc::gen::container<std::vector<std::uint16_t>>(*rc::gen::inRange<std::size_t>(1, 30), rc::gen::inRange<std::uint16_t>(0, 2));
        const auto first = *rc::gen::inRange<std::size_t>(0, kinds.size());
        // Requests of one rank and instant are in the order of their ids.
        std::vector<std::size_t> byCost(kinds.size());
        std::iota(byCost.begin(), byCost.end(), std::size_t { 0 });
        std::ranges::stable_sort(byCost, {}, [&](std::size_t index) { return kinds[index]; });
        auto settings = LoadRun::settings();
        settings.customerQueueLimits[1] = limit;
        ShardHarness harness(settings);
        harness.replica(1, PoolRole::Prefill, 1);
        harness.replica(2, PoolRole::Decode, 1);
        harness.arrive(1, 1);
        for (std::size_t sent = 0; sent < kinds.size(); ++sent) {
            const auto index = (first + sent) % kinds.size();
            harness.arrive(100 + index, kinds[index], 1);
        }
        std::set<std::size_t> refused;
        for (const auto& action : harness.all) {
            if (const auto* refusal = std::get_if<Refuse>(&action))
                refused.insert(static_cast<std::size_t>(refusal->request) - 100);
        }
        const auto kept = std::min<std::size_t>(limit, byCost.size());
        RC_ASSERT(refused == std::set<std::size_t>(byCost.begin() + static_cast<std::ptrdiff_t>(kept), byCost.end()));
    });
}
