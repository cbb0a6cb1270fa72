#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <set>

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto failPrefill(ShardHarness& harness, const StartPrefill& start, FailureKind failure) -> void
{
    harness.send(PrefillFailed { start.request, start.attempt, failure });
}

}

// Guards against retries that multiply the load on engines that already fail.
TEST_CASE("retries are limited to a fraction of the new requests")
{
    ShardHarness harness;
    for (std::uint32_t id = 1; id <= 200; ++id)
        harness.replica(id, PoolRole::Prefill, 4);
    harness.replica(1'000, PoolRole::Decode, 500);
    std::size_t starts = 0;
    constexpr std::size_t requests = 1'000;
    for (std::uint64_t id = 1; id <= requests; ++id) {
        harness.now += 50ms;
        harness.arrive(id);
        while (const auto start = harness.last<StartPrefill>()) {
            ++starts;
            failPrefill(harness, *start, FailureKind::ServerError);
        }
    }
    CHECK(summarize(harness.shard).retries <= 64 + requests / 5);
    CHECK(starts <= requests + 64 + requests / 5);
    CHECK(summarize(harness.shard).retries > requests / 10);
}

// Guards against a request that uses up its attempts within microseconds by alternating between engines
// whose processes are gone.
TEST_CASE("a replica that refuses connections gets no second request at once")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Prefill, 4);
    harness.replica(3, PoolRole::Decode, 20);
    harness.arrive(1);
    std::set<ReplicaId> tried;
    while (const auto start = harness.last<StartPrefill>()) {
        REQUIRE(tried.insert(start->prefill).second);
        failPrefill(harness, *start, FailureKind::NotConnected);
    }
    CHECK(tried.size() == 2);
    CHECK_FALSE(harness.last<Refuse>());
}

// Guards against a backend server that fails every request and still gets new ones.
TEST_CASE("a replica is ejected after consecutive failures and readmitted by one probe")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 20);
    harness.arrive(1);
    for (int failure = 0; failure < 3; ++failure)
        failPrefill(harness, *harness.lastEver<StartPrefill>(), FailureKind::ServerError);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.arrive(2);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.advance(1'001ms);
    CHECK(harness.count<StartPrefill>() == 1);
    harness.prefilled(*harness.last<StartPrefill>());
    CHECK(harness.count<StartPrefill>() == 1);
    harness.arrive(3);
    CHECK(harness.count<StartPrefill>() == 1);
}

// Guards against running a request again that may run only once.
TEST_CASE("a request that may run only once is retried only if it did not run")
{
    auto settings = testSettings();
    settings.kinds[0].repeatable = false;
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    harness.replica(3, PoolRole::Decode, 4);
    harness.arrive(1);
    harness.prefilled(*harness.last<StartPrefill>());
    auto decode = *harness.last<StartDecode>();
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::Busy, 0 });
    REQUIRE(harness.last<StartDecode>());
    CHECK(harness.last<StartDecode>()->decode != decode.decode);
    decode = *harness.last<StartDecode>();
    harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, 0 });
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
}
