#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <map>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto cacheEvents(std::uint32_t replica, std::uint64_t first, std::uint64_t last, std::vector<std::uint64_t> stored) -> CacheEvents
{
    return { ReplicaId { replica }, first, last, std::move(stored), {} };
}

/// Hashes of a prompt of 8 blocks, derived from the number of the prefix.
auto blocksOf(std::uint64_t prefix) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t block = 0; block < 8; ++block)
        blocks.push_back(prefix * 100 + block);
    return blocks;
}

auto prefillOf(ShardHarness& harness, std::uint64_t id, std::uint64_t prefix, std::uint32_t promptTokens = 2'048) -> ReplicaId
{
    harness.send(RequestArrived {
        .request = RequestId { id },
        .kind = KindId { 1 },
        .customer = CustomerId { 0 },
        .promptTokens = promptTokens,
        .maxTokens = 100,
        .deadline = harness.now + 60s,
        .prefixBlocks = blocksOf(prefix),
        .signature = id,
    });
    const auto start = harness.last<StartPrefill>();
    REQUIRE(start);
    return start->prefill;
}

auto withPrefills(std::uint32_t count, ShardSettings settings = testSettings()) -> ShardHarness
{
    ShardHarness harness(std::move(settings));
    for (std::uint32_t id = 1; id <= count; ++id)
        harness.replica(id, PoolRole::Prefill, 100);
    harness.replica(100, PoolRole::Decode, 1'000);
    return harness;
}

}

// Guards against prefills that recompute what another replica has in its cache.
TEST_CASE("a prompt goes to the replica that has its prefix")
{
    auto harness = withPrefills(5);
    harness.send(cacheEvents(4, 1, 8, blocksOf(7)));
    CHECK(prefillOf(harness, 1, 7) == ReplicaId { 4 });
}

// Guards against one replica that gets all the work because it caches a popular prefix.
TEST_CASE("a high load outweighs a cached prefix")
{
    auto harness = withPrefills(5);
    harness.send(cacheEvents(4, 1, 8, blocksOf(7)));
    std::map<ReplicaId, int> starts;
    ++starts[prefillOf(harness, 1, 9, 50'000)];
    const auto loaded = starts.begin()->first;
    harness.send(cacheEvents(static_cast<std::uint32_t>(loaded), 1, 8, blocksOf(8)));
    CHECK(prefillOf(harness, 2, 8) != loaded);
}

// Guards against placement by a cache view that missed evictions.
TEST_CASE("a gap in the cache events drops the cache view of the replica")
{
    auto harness = withPrefills(2);
    const auto other = prefillOf(harness, 1, 1, 1'000);
    const std::uint32_t cached = other == ReplicaId { 1 } ? 1 : 2;
    harness.send(cacheEvents(cached, 1, 8, blocksOf(7)));
    harness.send(cacheEvents(cached, 20, 20, { 5 }));
    // Without the cached prefix, the idle replica is the better choice.
    CHECK(prefillOf(harness, 2, 7) != other);
}

// Guards against traffic between zones that is caused by small differences in load.
TEST_CASE("the local zone is preferred and other zones get what it cannot take")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 100, ReplicaState::Live, 0);
    harness.replica(2, PoolRole::Prefill, 100, ReplicaState::Live, 1);
    harness.replica(100, PoolRole::Decode, 1'000, ReplicaState::Live, 0);
    harness.replica(101, PoolRole::Decode, 1'000, ReplicaState::Live, 1);
    CHECK(prefillOf(harness, 1, 1) == ReplicaId { 1 });
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 100 });
    CHECK(prefillOf(harness, 2, 2, 8'000) == ReplicaId { 1 });
    CHECK(prefillOf(harness, 3, 3) == ReplicaId { 2 });
    CHECK(harness.last<StartPrefill>()->decode == ReplicaId { 101 });
}

// Guards against instances that all choose the same one of several equal replicas.
TEST_CASE("instances order equal replicas differently")
{
    std::map<ReplicaId, int> chosen;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        auto settings = testSettings();
        settings.seed = seed;
        auto harness = withPrefills(8, settings);
        ++chosen[prefillOf(harness, 1, 1)];
    }
    CHECK(chosen.size() >= 6);
    for (const auto& [id, count] : chosen)
        CHECK(count <= 14);
}
