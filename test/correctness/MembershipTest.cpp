#include "../GossipSimulation.h"
#include "MembershipOwners.h"
#include "Rendezvous.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <iterator>
#include <set>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr int roundsPerMinute = 120;

auto countDeclaredDead(GossipSimulation& simulation) -> std::size_t
{
    std::size_t total = 0;
    for (const auto& instance : simulation.instances())
        total += instance.lost.size();
    return total;
}

/// @return whether every running instance suspects the instance or has declared it dead.
auto isSuspectedByAll(GossipSimulation& simulation, const std::string& id) -> bool
{
    return std::ranges::all_of(simulation.instances(), [&](const GossipInstance& instance) {
        const auto peer = instance.membership.peers.find(id);
        return !instance.isRunning || peer == instance.membership.peers.end() || peer->second.isSuspect;
    });
}

/// A suspecting instance and the instance that it suspects.
using Suspicions = std::set<std::pair<std::string, std::string>>;

auto suspectedLiveMembers(GossipSimulation& simulation) -> Suspicions
{
    std::set<std::string> live;
    for (const auto& instance : simulation.instances()) {
        if (instance.isRunning)
            live.insert(instance.membership.self.id);
    }
    Suspicions suspicions;
    for (const auto& instance : simulation.instances()) {
        for (const auto& [id, peer] : instance.membership.peers) {
            if (instance.isRunning && peer.isSuspect && live.contains(id))
                suspicions.emplace(instance.membership.self.id, id);
        }
    }
    return suspicions;
}

auto intersection(const Suspicions& left, const Suspicions& right) -> Suspicions
{
    Suspicions both;
    std::ranges::set_intersection(left, right, std::inserter(both, both.end()));
    return both;
}

}

// Guards against instances that never find each other from one seed address.
TEST_CASE("instances that only know one seed address find each other")
{
    for (const std::size_t size : { 2, 7, 47 }) {
        GossipSimulation simulation({ .instancesPerZone = size, .hasInstanceList = false });
        CHECK(simulation.roundsUntil([&] { return simulation.isConverged(); }, 40) >= 0);
    }
}

// Guards against live instances that are declared dead because messages are lost, and against
// messages that grow with the number of instances.
TEST_CASE("no live instance is declared dead while a tenth of the messages is lost")
{
    GossipSimulation simulation({ .instancesPerZone = 47, .lossPercent = 10 });
    REQUIRE(simulation.roundsUntil([&] { return simulation.isConverged(); }, 60) >= 0);
    for (auto& instance : simulation.instances()) {
        instance.bytesSent = 0;
        instance.largestBody = 0;
    }
    simulation.rounds(5 * roundsPerMinute);
    CHECK(countDeclaredDead(simulation) == 0);
    for (const auto& instance : simulation.instances()) {
        CHECK(instance.largestBody < 500);
        CHECK(instance.bytesSent / 300 < 4'096);
    }
}

// Guards against a dead instance that is still counted as live.
TEST_CASE("an instance that stops is suspected by all peers within 7 s and declared dead within 10 s")
{
    rc::prop("any instance stops while messages are lost", [] {
        GossipSimulation simulation({ .instancesPerZone = 15, .lossPercent = 10, .seed = *rc::gen::arbitrary<std::uint64_t>() });
        RC_ASSERT(simulation.roundsUntil([&] { return simulation.isConverged(); }, 60) >= 0);
        const auto stopped = *rc::gen::inRange<std::size_t>(0, 15);
        simulation.instances()[stopped].isRunning = false;
        simulation.rounds(14);
        auto suspectedLive = suspectedLiveMembers(simulation);
        for (int round = 0; round < 6; ++round) {
            RC_ASSERT(isSuspectedByAll(simulation, simulation.instances()[stopped].membership.self.id));
            simulation.round();
            // A live instance may be suspected for a moment if all messages of 3 s from it are lost.
            if (round < 2)
                suspectedLive = intersection(suspectedLive, suspectedLiveMembers(simulation));
        }
        RC_ASSERT(suspectedLive.empty());
        RC_ASSERT(countDeclaredDead(simulation) == 14);
    });
}

// Guards against an instance that stays dead for its peers after it was frozen, or keeps the incarnation
// that they declared dead.
TEST_CASE("an instance that was frozen continues with a higher incarnation")
{
    for (const int frozenRounds : { 4, 8, 13, 40 }) {
        GossipSimulation simulation({ .instancesPerZone = 7 });
        REQUIRE(simulation.roundsUntil([&] { return simulation.isConverged(); }, 60) >= 0);
        auto& frozen = simulation.instances()[3];
        const auto incarnation = frozen.membership.self.incarnation;
        frozen.isFrozen = true;
        simulation.rounds(frozenRounds);
        frozen.isFrozen = false;
        CHECK(simulation.roundsUntil([&] { return simulation.isConverged(); }, 20) >= 0);
        simulation.rounds(20);
        CHECK(simulation.isConverged());
        if (frozenRounds * 500 >= 3'000)
            CHECK(frozen.membership.self.incarnation > incarnation);
        CHECK(frozen.lost.empty());
    }
}

// Guards against a restarted process that its peers ignore because its clock is behind.
TEST_CASE("a process that restarts with a clock that is behind is accepted")
{
    GossipSimulation simulation({ .instancesPerZone = 7 });
    REQUIRE(simulation.roundsUntil([&] { return simulation.isConverged(); }, 60) >= 0);
    auto& restarted = simulation.instances()[2];
    auto settings = restarted.membership.settings;
    settings.self.incarnation -= 1'000;
    const auto contacts = restarted.membership.contacts;
    restarted.membership = makeMembership(settings, simulation.now());
    setContacts(restarted.membership, contacts);
    simulation.rounds(20);
    CHECK(simulation.isConverged());
    CHECK(restarted.membership.self.incarnation > 60'000'000);
}

// Guards against an instance that raises its incarnation because one of its old messages arrived late,
// which is common after the receiver was frozen.
TEST_CASE("a message that was overtaken does not raise the incarnation")
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
    mergeMessage(sender, now + 700ms, composeReply(receiver, now + 700ms, older), actions);
    CHECK(sender.self.incarnation == 5);
    settings.self = sender.self;
    auto restarted = makeMembership(settings, now);
    mergeMessage(restarted, now + 800ms, composeReply(receiver, now + 700ms, composeMessage(restarted, now)), actions);
    CHECK(restarted.self.incarnation == 6);
}

// Guards against a stopped instance that is suspected late, because peers pass its last heartbeat on for as long as they
// do not suspect it, and each receiver then waits for the whole suspicion timeout.
TEST_CASE("a heartbeat is not forwarded for longer than a third of the suspicion timeout")
{
    const TimePoint now { 1'000s };
    MembershipSettings settings { .self = { .id = "a", .peerEndpoint = { "10.0.0.1", 1 }, .availabilityZone = "z", .incarnation = 5 } };
    auto sender = makeMembership(settings, now);
    GossipMessage heard;
    heard.sender = { { .id = "b", .peerEndpoint = { "10.0.0.2", 1 }, .availabilityZone = "z", .incarnation = 5 }, 9 };
    std::vector<MembershipAction> actions;
    mergeMessage(sender, now, heard, actions);
    GossipMessage probe;
    probe.sender = { { .id = "c", .peerEndpoint = { "10.0.0.3", 1 }, .availabilityZone = "z", .incarnation = 5 }, 9 };
    const HeartbeatEntry forwarded { tagOf(heard.sender.member), 9 };
    const auto names = [&](const MemberEntry& entry) { return entry.member.id == "b"; };
    for (const auto age : { 0ms, 900ms, 1'000ms, 2'900ms }) {
        const auto isFresh = age < 1s;
        const auto message = composeMessage(sender, now + age);
        CHECK((std::ranges::count(message.heartbeats, forwarded) == 1) == isFresh);
        CHECK(std::ranges::any_of(message.introductions, names) == isFresh);
        const auto reply = composeReply(sender, now + age, probe);
        CHECK((std::ranges::count(reply.heartbeats, forwarded) == 1) == isFresh);
    }
}

// Guards against a crash report that reaches a peer only with the next regular round, because the last round has just
// reached that peer.
TEST_CASE("an extra round goes to peers that have just been contacted")
{
    const TimePoint now { 1'000s };
    auto sender = makeMembership({ .self = { .id = "a", .peerEndpoint = { "10.0.0.1", 1 }, .availabilityZone = "z", .incarnation = 5 } }, now);
    std::vector<MembershipAction> actions;
    for (const std::string id : { "b", "c", "d" }) {
        GossipMessage heard;
        heard.sender = { { .id = id, .peerEndpoint = { id, 1 }, .availabilityZone = "z", .incarnation = 5 }, 9 };
        mergeMessage(sender, now, heard, actions);
    }
    REQUIRE(chooseTargets(sender, now).size() == 3);
    CHECK(chooseTargets(sender, now + 1ms).size() == 1);
    CHECK(chooseTargets(sender, now + 2ms, true).size() == 3);
    CHECK(chooseTargets(sender, now + 3ms, true).size() == 3);
}

// Guards against a zone that does not rejoin the other zones after a network partition.
TEST_CASE("both sides of a network partition continue and join again")
{
    GossipSimulation simulation({ .zones = 2, .instancesPerZone = 6 });
    REQUIRE(simulation.roundsUntil([&] { return simulation.instances()[0].membership.peers.size() == 11; }, 60) >= 0);
    simulation.rounds(10);
    for (std::size_t index = 6; index < 12; ++index)
        simulation.instances()[index].networkPartition = 1;
    simulation.rounds(20);
    CHECK(simulation.isConverged());
    CHECK(liveMembers(simulation.instances()[0].membership).size() == 6);
    for (auto& instance : simulation.instances())
        instance.networkPartition = 0;
    simulation.rounds(40);
    for (const auto& instance : simulation.instances())
        CHECK(liveMembers(instance.membership).size() == 12);
}

// Guards against a message whose serialization and parsing differ.
TEST_CASE("a gossip message survives its conversion to JSON")
{
    GossipMessage message;
    message.promptReports = { { "service", "edge-1", 5, false, { 6, 7, { 8, 9 } } }, { "service", "edge-1", 6, true, { .parts = { 8 } } }, { "service", "edge-1", 8, false, { 6, 7, { 9 }, 64 } } };
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
    // A report that is larger than any instance sends is left out.
    auto oversized = message;
    oversized.promptReports.push_back({ "service", "edge-1", 7, false, { 6, 7, std::vector<std::uint64_t>(1'000) } });
    CHECK(gossipMessageFromJson(toJson(oversized)) == message);
    CHECK_FALSE(gossipMessageFromJson(boost::json::value("text")));
}

// Guards against names that move although their owner did not leave, and against a few instances that own
// most names.
TEST_CASE("when a member leaves only the names that it owned move")
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
