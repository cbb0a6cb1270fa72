#include "../GossipSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;

// Guards against a version that decreases when versions arrive late, twice or out of order.
TEST_CASE("the version of a copy only increases under any order of messages")
{
    rc::prop("received versions and peer reports in any order", [](const std::vector<std::pair<std::uint8_t, bool>>& events) {
        VersionedCopy copy;
        std::int64_t highest = 0;
        TimePoint now { 1'000s };
        for (const auto& [version, isReceived] : events) {
            now += 100ms;
            const auto before = copy.version;
            if (isReceived) {
                RC_ASSERT(acceptIfNewer(copy, version) == (version > highest));
                highest = std::max<std::int64_t>(highest, version);
            } else {
                RC_ASSERT(!shouldFetch(copy, now, version, 2s) || version > before);
            }
            RC_ASSERT(copy.version >= before);
            RC_ASSERT(copy.version == highest);
        }
    });
}

// Guards against an instance that waits forever for a peer that died during a fetch.
TEST_CASE("a fetch times out")
{
    VersionedCopy copy;
    const TimePoint now { 1'000s };
    CHECK(shouldFetch(copy, now, 5, 2s));
    CHECK_FALSE(shouldFetch(copy, now + 1s, 5, 2s));
    CHECK(shouldFetch(copy, now + 2s, 5, 2s));
    fetchEnded(copy);
    CHECK(shouldFetch(copy, now + 2s, 5, 2s));
}

// Guards against instances that keep an old configuration, or go back to one, after lost messages, pauses
// and network partitions.
TEST_CASE("all instances end with the highest version despite faults")
{
    rc::prop("lost messages, network partitions and late versions", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 12);
        GossipSimulation simulation({ .instancesPerZone = size, .lossPercent = 20, .seed = *rc::gen::arbitrary<std::uint64_t>() });
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(30, rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 20U)));
        std::int64_t highest = 0;
        for (const auto step : steps) {
            auto& instance = simulation.instances()[step / 8 % size];
            if (step % 8 < 2) {
                const auto version = static_cast<std::int64_t>(step / 256 % 50);
                acceptIfNewer(instance.configuration, version);
                highest = std::max(highest, version);
            } else if (step % 8 == 2) {
                instance.networkPartition = static_cast<int>(step / 256 % 2);
            } else if (step % 8 == 3) {
                instance.isFrozen = !instance.isFrozen;
            }
            simulation.round();
        }
        for (auto& instance : simulation.instances()) {
            instance.networkPartition = 0;
            instance.isFrozen = false;
        }
        RC_ASSERT(simulation.roundsUntil([&] { return simulation.haveVersion(highest); }, 80) >= 0);
        for (const auto& instance : simulation.instances())
            RC_ASSERT(!instance.hasVersionDecreased);
    });
}

// Guards against a change that exceeds the limit of 16 s because zones rarely exchange messages. In this
// test no instance reaches the platform, whereas in service two instances of every zone watch it.
TEST_CASE("a version reaches 18 zones through gateways alone")
{
    GossipSimulation simulation({ .zones = 18, .instancesPerZone = 8, .lossPercent = 5 });
    simulation.rounds(30);
    simulation.instances()[5].configuration.version = 9;
    const auto rounds = simulation.roundsUntil([&] { return simulation.haveVersion(9); }, 60);
    CHECK(rounds >= 0);
    CHECK(rounds <= 32);
    // Zones that sent each other the entries of all their instances would exceed the budget of 4 KB/s.
    for (auto& instance : simulation.instances())
        instance.bytesSent = 0;
    simulation.rounds(20);
    for (const auto& instance : simulation.instances()) {
        CHECK(instance.bytesSent / 10 < 4'096);
        // Gateways change while a zone starts, so an instance may know up to three of each zone.
        CHECK(instance.membership.peers.size() <= 7 + 17 * 3);
    }
}
