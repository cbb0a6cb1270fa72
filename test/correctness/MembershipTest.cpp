#include "../GossipSimulation.h"
#include "MembershipOwners.h"
#include "Rendezvous.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr int roundsPerMinute = 120;

auto deaths(GossipSimulation& world) -> std::size_t
{
    std::size_t total = 0;
    for (const auto& instance : world.instances())
        total += instance.lost.size();
    return total;
}

}

// Guards against instances that never find each other from one seed address.
TEST_CASE("instances that know one seed find each other")
{
    for (const std::size_t size : { 2, 7, 47 }) {
        GossipSimulation world({ .instancesPerZone = size, .hasInstanceList = false });
        CHECK(world.roundsUntil([&] { return world.isConverged(); }, 40) >= 0);
    }
}

// Guards against live instances that are declared dead because messages are lost, and against
// messages that grow with the number of instances.
TEST_CASE("no live instance is declared dead while a tenth of the messages is lost")
{
    GossipSimulation world({ .instancesPerZone = 47, .lossPercent = 10 });
    REQUIRE(world.roundsUntil([&] { return world.isConverged(); }, 60) >= 0);
    for (auto& instance : world.instances()) {
        instance.bytesSent = 0;
        instance.largestBody = 0;
    }
    world.rounds(5 * roundsPerMinute);
    CHECK(deaths(world) == 0);
    for (const auto& instance : world.instances()) {
        CHECK(instance.largestBody < 500);
        CHECK(instance.bytesSent / 300 < 4'096);
    }
}

// Guards against a dead instance that goes on being counted as live.
TEST_CASE("an instance that stops is suspected by everyone within 7 s and declared dead within 10 s")
{
    rc::prop("whoever stops, with messages lost", [] {
        GossipSimulation world({ .instancesPerZone = 15, .lossPercent = 10, .seed = *rc::gen::arbitrary<std::uint64_t>() });
        RC_ASSERT(world.roundsUntil([&] { return world.isConverged(); }, 60) >= 0);
        const auto stopped = *rc::gen::inRange<std::size_t>(0, 15);
        world.instances()[stopped].isRunning = false;
        world.rounds(14);
        RC_ASSERT(world.isConverged());
        world.rounds(6);
        RC_ASSERT(deaths(world) == 14);
    });
}

// Guards against an instance that was frozen and stays dead for its peers, or keeps the incarnation
// that they declared dead.
TEST_CASE("a frozen instance that wakes comes back with a higher incarnation")
{
    for (const int frozenRounds : { 4, 8, 13, 40 }) {
        GossipSimulation world({ .instancesPerZone = 7 });
        REQUIRE(world.roundsUntil([&] { return world.isConverged(); }, 60) >= 0);
        auto& frozen = world.instances()[3];
        const auto incarnation = frozen.membership.self.incarnation;
        frozen.isFrozen = true;
        world.rounds(frozenRounds);
        frozen.isFrozen = false;
        CHECK(world.roundsUntil([&] { return world.isConverged(); }, 20) >= 0);
        world.rounds(20);
        CHECK(world.isConverged());
        if (frozenRounds * 500 >= 3'000)
            CHECK(frozen.membership.self.incarnation > incarnation);
        CHECK(frozen.lost.empty());
    }
}

// Guards against a restarted process that its peers ignore because its clock is behind.
TEST_CASE("a process that restarts with an older clock is accepted")
{
    GossipSimulation world({ .instancesPerZone = 7 });
    REQUIRE(world.roundsUntil([&] { return world.isConverged(); }, 60) >= 0);
    auto& restarted = world.instances()[2];
    auto settings = restarted.membership.settings;
    settings.self.incarnation -= 1'000;
    const auto contacts = restarted.membership.contacts;
    restarted.membership = makeMembership(settings, world.now());
    setContacts(restarted.membership, contacts);
    world.rounds(20);
    CHECK(world.isConverged());
    CHECK(restarted.membership.self.incarnation > 60'000'000);
}

// Guards against an instance that raises its incarnation because an old message of its own arrived
// late, which is common after the receiver was frozen.
TEST_CASE("a message that was overtaken is no reason for a new incarnation")
{
    const TimePoint now { 1'000s };
    MembershipSettings settings { .self = { .id = "a", .peerEndpoint = { "10.0.0.1", 1 }, .availabilityZone = "z", .incarnation = 5 } };
    auto sender = makeMembership(settings, now);
    settings.self = { .id = "b", .peerEndpoint = { "10.0.0.2", 1 }, .availabilityZone = "z", .incarnation = 5 };
    auto receiver = makeMembership(settings, now);
    std::vector<MembershipAction> actions;
    startRound(sender, now, actions);
    const auto older = composeMessage(sender, now);
    startRound(sender, now + 500ms, actions);
    const auto newer = composeMessage(sender, now + 500ms);
    mergeMessage(receiver, now + 600ms, newer, actions);
    mergeMessage(receiver, now + 700ms, older, actions);
    mergeMessage(sender, now + 700ms, composeReply(receiver, older), actions);
    CHECK(sender.self.incarnation == 5);
    settings.self = sender.self;
    auto restarted = makeMembership(settings, now);
    mergeMessage(restarted, now + 800ms, composeReply(receiver, composeMessage(restarted, now)), actions);
    CHECK(restarted.self.incarnation == 6);
}

// Guards against a zone that was cut off and does not come together with the others again.
TEST_CASE("both sides of a cut go on and come together again")
{
    GossipSimulation world({ .zones = 2, .instancesPerZone = 6 });
    REQUIRE(world.roundsUntil([&] { return world.instances()[0].membership.peers.size() == 11; }, 60) >= 0);
    world.rounds(10);
    for (std::size_t index = 6; index < 12; ++index)
        world.instances()[index].networkPartition = 1;
    world.rounds(20);
    CHECK(world.isConverged());
    CHECK(liveMembers(world.instances()[0].membership).size() == 6);
    for (auto& instance : world.instances())
        instance.networkPartition = 0;
    world.rounds(40);
    for (const auto& instance : world.instances())
        CHECK(liveMembers(instance.membership).size() == 12);
}

// Guards against a message that is written in one form and read in another.
TEST_CASE("a gossip message survives its JSON form")
{
    GossipMessage message;
    message.sender = { { .id = "alpine-1", .peerEndpoint = { "10.0.0.1", 7443 }, .availabilityZone = "alpine", .incarnation = 7, .configurationVersion = 3, .isDraining = true }, 9 };
    message.introductions.push_back({ { .id = "alpine-2", .peerEndpoint = { "10.0.0.2", 7443 }, .availabilityZone = "alpine", .incarnation = 8 }, 10 });
    message.heartbeats = { { 5, 6 }, { 99'999'999, 170'000 } };
    message.listVersion = 4;
    message.deadIncarnation = 6;
    message.requestsFullEntries = true;
    message.signatures = { 1, ~0ULL };
    message.suspects = { { ~0ULL, "engine-4", "run-2", "alpine-1" } };
    message.leaving = { "engine-3" };
    CHECK(gossipMessageFromJson(toJson(message)) == message);
    CHECK_FALSE(gossipMessageFromJson(boost::json::value("text")));
}

// Guards against owners that move although their instance did not leave, and against a few instances
// that own most names.
TEST_CASE("a member that leaves moves only the names that it owned")
{
    std::vector<std::string> ids;
    ids.reserve(7);
    for (int index = 0; index < 7; ++index)
        ids.push_back("alpine-" + std::to_string(index));
    const std::vector<std::string> fewer(ids.begin() + 1, ids.end());
    std::map<std::string, int> owned;
    for (int name = 0; name < 7'000; ++name) {
        const auto text = "name-" + std::to_string(name);
        const auto owner = rendezvousOwner(text, ids);
        ++owned[owner];
        if (owner != ids[0])
            CHECK(rendezvousOwner(text, fewer) == owner);
    }
    for (const auto& [id, count] : owned)
        CHECK((count > 800 && count < 1'200));
}
