#include "ShardHarness.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint32_t instances = 61;
constexpr std::uint64_t requestsPerInstance = 5;

/// A service whose instances share their retries, and whose requests may be repeated.
auto sharedSettings() -> ShardSettings
{
    auto settings = testSettings();
    settings.decodeMayPrefill = true;
    settings.retry = { .ratio = 0.2, .burst = 162, .isShared = true, .countsRejections = true };
    return settings;
}

auto addEngines(ShardHarness& harness) -> void
{
    for (std::uint32_t id = 1; id <= 10; ++id)
        harness.replica(id, PoolRole::Decode, 20);
}

/// Fails every attempt of the request.
/// @return the number of attempts.
auto failAll(ShardHarness& harness, std::uint64_t id) -> std::size_t
{
    std::size_t attempts = 0;
    harness.arrive(id, 1);
    while (const auto start = harness.last<StartDecode>()) {
        ++attempts;
        harness.send(DecodeFailed { start->request, start->attempt, FailureKind::Busy, 0 });
    }
    return attempts;
}

/// @return the attempts beyond the first of each request.
auto runInstance(std::uint32_t knownInstances) -> std::size_t
{
    auto settings = sharedSettings();
    if (knownInstances > 0)
        settings.instanceCount = knownInstances;
    ShardHarness harness(settings);
    addEngines(harness);
    std::size_t attempts = 0;
    for (std::uint64_t id = 1; id <= requestsPerInstance; ++id)
        attempts += failAll(harness, id);
    return attempts - requestsPerInstance;
}

}

// Guards against a fleet whose instances each use the whole shared budget until they have read how many
// they are.
TEST_CASE("instances that do not know their number stay within the shared budget")
{
    std::size_t retries = 0;
    for (std::uint32_t instance = 0; instance < instances; ++instance)
        retries += runInstance(0);
    CHECK(static_cast<double>(retries) <= 0.2 * instances * requestsPerInstance + 162);
}

// Guards against a shared budget that each restart of an instance fills again.
TEST_CASE("restarted instances stay within the shared budget")
{
    constexpr std::uint32_t restarts = 4;
    std::size_t retries = 0;
    for (std::uint32_t process = 0; process < instances * restarts; ++process)
        retries += runInstance(instances);
    CHECK(static_cast<double>(retries) <= 0.2 * instances * restarts * requestsPerInstance + 162);
}

// Guards against an attempt that sends a second prefill and a second decode for one retry.
TEST_CASE("each call beyond the first prefill and the first decode takes a retry from the budget")
{
    auto settings = testSettings();
    settings.decodeMayPrefill = GENERATE(true, false);
    settings.retry = { .ratio = 0, .burst = 1, .isShared = false, .countsRejections = true };
    ShardHarness harness(settings);
    for (std::uint32_t id = 1; id <= 3; ++id) {
        harness.replica(id, PoolRole::Prefill, 4);
        harness.replica(10 + id, PoolRole::Decode, 20);
    }
    harness.arrive(1, 1);
    std::size_t calls = 0;
    for (auto step = 0; step < 10; ++step) {
        if (const auto prefill = harness.last<StartPrefill>()) {
            ++calls;
            harness.prefilled(*prefill);
        } else if (const auto decode = harness.last<StartDecode>()) {
            ++calls;
            harness.send(DecodeFailed { decode->request, decode->attempt, FailureKind::ServerError, 0 });
        }
    }
    CHECK(calls <= 3);
    // The next failed decode is refused at once, and an attempt that needs two calls waits for its second retry.
    CHECK(harness.lastEver<Refuse>().has_value() == settings.decodeMayPrefill);
    harness.advance(59s);
    CHECK_FALSE(harness.last<StartPrefill>());
    CHECK_FALSE(harness.last<StartDecode>());
    harness.advance(1s);
    CHECK(harness.lastEver<Refuse>());
}

// Guards against retries that are taken from the budget during an outage and all sent when it ends.
TEST_CASE("a retry that has waited for capacity is taken from the budget when it is sent")
{
    const auto outage = GENERATE(Duration(1s), Duration(4s));
    auto settings = testSettings();
    settings.decodeMayPrefill = true;
    settings.retry = { .ratio = 0, .burst = 1, .isShared = false, .countsRejections = true };
    ShardHarness harness(settings);
    harness.replica(1, PoolRole::Decode, 20);
    harness.replica(2, PoolRole::Decode, 20, ReplicaState::Leaving);
    harness.arrive(1, 1);
    const auto first = *harness.last<StartDecode>();
    harness.replica(1, PoolRole::Decode, 20, ReplicaState::Leaving);
    harness.send(DecodeFailed { first.request, first.attempt, FailureKind::Busy, 0 });
    REQUIRE_FALSE(harness.last<Refuse>());
    harness.advance(outage);
    harness.replica(2, PoolRole::Decode, 20);
    CHECK(harness.last<StartDecode>().has_value() == (outage < 2s));
    CHECK(harness.last<Refuse>().has_value() == (outage > 2s));
}
