#include "../GossipSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;

// Guards against a version that goes back when versions arrive late, twice or in any order.
TEST_CASE("a copy only rises under any order of messages")
{
    rc::prop("offers and reports in any order", [](const std::vector<std::pair<std::uint8_t, bool>>& events) {
        VersionedCopy copy;
        std::int64_t highest = 0;
        TimePoint now { 1'000s };
        for (const auto& [version, isOffer] : events) {
            now += 100ms;
            const auto before = copy.version;
            if (isOffer) {
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

// Guards against an instance that waits for ever for a peer that died during a fetch.
TEST_CASE("a fetch without an end is given up")
{
    VersionedCopy copy;
    const TimePoint now { 1'000s };
    CHECK(shouldFetch(copy, now, 5, 2s));
    CHECK_FALSE(shouldFetch(copy, now + 1s, 5, 2s));
    CHECK(shouldFetch(copy, now + 2s, 5, 2s));
    fetchEnded(copy);
    CHECK(shouldFetch(copy, now + 2s, 5, 2s));
}

// Guards against instances that keep an old configuration after lost messages, restarts and cuts, or
// go back to one.
TEST_CASE("everyone ends with the highest version under faults")
{
    rc::prop("lost messages, cuts and late versions", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 12);
        GossipSimulation world({ .instancesPerZone = size, .lossPercent = 20, .seed = *rc::gen::arbitrary<std::uint64_t>() });
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(30, rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 20U)));
        std::int64_t highest = 0;
        for (const auto step : steps) {
            auto& instance = world.instances()[step / 8 % size];
            if (step % 8 < 2) {
                const auto version = static_cast<std::int64_t>(step / 256 % 50);
                acceptIfNewer(instance.configuration, version);
                highest = std::max(highest, version);
            } else if (step % 8 == 2) {
                instance.networkPartition = static_cast<int>(step / 256 % 2);
            } else if (step % 8 == 3) {
                instance.isFrozen = !instance.isFrozen;
            }
            world.round();
        }
        for (auto& instance : world.instances()) {
            instance.networkPartition = 0;
            instance.isFrozen = false;
        }
        RC_ASSERT(world.roundsUntil([&] { return world.haveVersion(highest); }, 80) >= 0);
        for (const auto& instance : world.instances())
            RC_ASSERT(!instance.hasVersionDecreased);
    });
}

// Guards against a change that takes longer than the 16 s allowed because zones hardly meet. Here no
// instance reaches the platform; in service two of every zone watch it.
TEST_CASE("a version crosses 18 zones through gateways alone")
{
    GossipSimulation world({ .zones = 18, .instancesPerZone = 8, .lossPercent = 5 });
    world.rounds(30);
    world.instances()[5].configuration.version = 9;
    const auto rounds = world.roundsUntil([&] { return world.haveVersion(9); }, 60);
    CHECK(rounds >= 0);
    CHECK(rounds <= 32);
    // Zones that tell each other about all their instances would exceed the budget of 4 KB/s.
    for (auto& instance : world.instances())
        instance.bytesSent = 0;
    world.rounds(20);
    for (const auto& instance : world.instances()) {
        CHECK(instance.bytesSent / 10 < 4'096);
        // Gateways change while a zone starts, so that up to three of each zone are met.
        CHECK(instance.membership.peers.size() <= 7 + 17 * 3);
    }
}
