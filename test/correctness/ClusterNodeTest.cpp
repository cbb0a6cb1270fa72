#include "../ClusterFixture.h"
#include "LeaseManager.h"

#include <catch2/catch.hpp>

#include <future>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Three instances that find each other through the platform's instance list.
struct Cluster {
    Cluster()
    {
        boost::json::array items;
        for (const std::string id : { "alpine-1", "alpine-2", "alpine-3" }) {
            instances.push_back(std::make_unique<ClusterInstance>(id, "alpine", platform.endpoint()));
            items.push_back(listItem(id, instances.back()->server.endpoint(), "alpine", "entry"));
        }
        items.push_back(listItem("ledger-1", { "127.0.0.1", 9 }, "alpine", "ledger-alpine"));
        platform.setInstances(boost::json::object { { "version", 2 }, { "instances", std::move(items) } });
    }

    ~Cluster()
    {
        instances.clear();
        platformThreads.stop();
    }
    Cluster(const Cluster&) = delete;
    auto operator=(const Cluster&) -> Cluster& = delete;

    auto start() -> bool
    {
        for (auto& instance : instances)
            instance->node->start();
        return eventually([&] { return allInstances([](auto& instance) { return instance.node->members().size() == 3; }); });
    }

    template <typename Predicate>
    auto allInstances(Predicate predicate) -> bool
    {
        return std::ranges::all_of(instances, [&](auto& instance) { return predicate(*instance); });
    }

    IoThreads platformThreads { 1 };
    FakePlatform platform { platformThreads };
    std::vector<std::unique_ptr<ClusterInstance>> instances;
};

auto isStarted(const RecordDecision& decision) -> bool
{
    return std::holds_alternative<RecordStarted>(decision);
}

auto isUnavailable(const RecordDecision& decision) -> bool
{
    return std::holds_alternative<RecordUnavailable>(decision);
}

}

// Guards against instances that don't find each other, or disagree about owners and backend servers.
TEST_CASE("instances find each other and agree on owners and backend servers")
{
    Cluster cluster;
    REQUIRE(cluster.start());
    REQUIRE(eventually([&] { return cluster.allInstances([](auto& instance) { return instance.node->backends().size() == 1; }); }));
    const auto owner = cluster.instances[0]->node->ownerOf("records/03");
    CHECK(cluster.allInstances([&](auto& instance) { return instance.node->ownerOf("records/03") == owner; }));
    cluster.instances[0]->node->reportLeaving("ledger-1");
    CHECK(eventually([&] { return cluster.allInstances([](auto& instance) { return instance.node->backends()[0].state == ReplicaState::Leaving; }); }, 2s));
}

// Guards against an accepted change that does not reach all instances, and against telling an operator that
// a lost change was accepted.
TEST_CASE("a configuration reaches all instances and a conflicting update returns the current one")
{
    Cluster cluster;
    REQUIRE(cluster.start());
    CHECK(std::holds_alternative<ApplyAccepted>(cluster.instances[0]->apply(smallConfiguration(1), 0)));
    REQUIRE(eventually([&] { return cluster.allInstances([](auto& instance) { return instance.version() == 1; }); }));
    cluster.platform.loseReplies(1);
    CHECK(std::holds_alternative<ApplyAccepted>(cluster.instances[1]->apply(smallConfiguration(2, "first"), 1)));
    const auto outcome = cluster.instances[2]->apply(smallConfiguration(2, "second"), 1);
    const auto* conflict = std::get_if<ApplyConflict>(&outcome);
    REQUIRE(conflict);
    REQUIRE(conflict->currentConfiguration);
    CHECK(conflict->currentConfiguration->operators[0].name == "first");
    CHECK(eventually([&] { return cluster.allInstances([](auto& instance) { return instance.version() == 2; }); }));
}

// Guards against a call that may run twice, or whose answer is not replayed by all instances.
TEST_CASE("records are started once and replayed by every instance")
{
    Cluster cluster;
    REQUIRE(cluster.start());
    auto& first = *cluster.instances[0];
    auto& second = *cluster.instances[1];
    REQUIRE(isStarted(first.begin("deposit-1", "a1")));
    CHECK(std::holds_alternative<RecordInProgress>(second.begin("deposit-1", "a2")));
    CHECK(std::holds_alternative<RecordMismatch>(second.begin("deposit-1", "a3", "other")));
    const StoredResponse response { 201, "application/json", "{\"id\":7}" };
    CHECK(first.finish("deposit-1", "a1", response));
    for (auto& instance : cluster.instances) {
        const auto decision = instance->begin("deposit-1", "a4");
        REQUIRE(std::holds_alternative<RecordDone>(decision));
        CHECK(std::get<RecordDone>(decision).response == response);
    }
    cluster.platform.loseReplies(1);
    CHECK(isStarted(second.begin("deposit-2", "a5")));
}

// Guards against a call that waits or runs while its record can't be committed.
TEST_CASE("while the platform is down calls are refused at once and the configuration stays active")
{
    Cluster cluster;
    REQUIRE(cluster.start());
    REQUIRE(std::holds_alternative<ApplyAccepted>(cluster.instances[0]->apply(smallConfiguration(1), 0)));
    REQUIRE(eventually([&] { return cluster.allInstances([](auto& instance) { return instance.version() == 1; }); }));
    cluster.platform.setDown(true);
    for (int call = 0; call < 6; ++call) {
        const auto callStart = std::chrono::steady_clock::now();
        CHECK(isUnavailable(cluster.instances[call % 3]->begin("hold-" + std::to_string(call), "b" + std::to_string(call))));
        CHECK(std::chrono::steady_clock::now() - callStart < 2500ms);
    }
    SECTION("a new instance gets the complete state from its peers")
    {
        ClusterInstance newInstance("alpine-4", "alpine", cluster.platform.endpoint(), { cluster.instances[2]->server.endpoint() });
        newInstance.node->start();
        CHECK(eventually([&] { return newInstance.version() == 1 && newInstance.node->members().size() == 4 && newInstance.node->backends().size() == 1; }));
        CHECK(eventually([&] { return cluster.instances[0]->node->members().size() == 4; }));
    }
    SECTION("an answer that could not be stored is stored later")
    {
        cluster.platform.setDown(false);
        REQUIRE(eventually([&] { return isStarted(cluster.instances[0]->begin("hold-8", "c8")); }));
        cluster.platform.setDown(true);
        CHECK_FALSE(cluster.instances[0]->finish("hold-8", "c8", { 200, "text/plain", "held" }));
        cluster.platform.setDown(false);
        CHECK(eventually([&] { return std::holds_alternative<RecordDone>(cluster.instances[1]->begin("hold-8", "c9")); }));
    }
    SECTION("records work again after the platform recovers")
    {
        cluster.platform.setDown(false);
        CHECK(eventually([&] { return isStarted(cluster.instances[0]->begin("hold-9", "c1")); }));
    }
}

// Guards against records that depend on one instance, and against a failed instance that is not detected.
TEST_CASE("another instance takes over the records of an instance that is gone")
{
    Cluster cluster;
    REQUIRE(cluster.start());
    REQUIRE(isStarted(cluster.instances[2]->begin("booking-1", "d1")));
    cluster.instances.pop_back();
    for (int call = 0; call < 8; ++call)
        CHECK(isStarted(cluster.instances[0]->begin("booking-x" + std::to_string(call), "e" + std::to_string(call))));
    CHECK(eventually([&] { return cluster.allInstances([](auto& instance) { return instance.node->members().size() == 2; }); }));
    CHECK(eventually([&] { return std::holds_alternative<RecordUnknown>(cluster.instances[1]->begin("booking-1", "d2")); }));
}

// Guards against crash signatures that arrive late, twice or not at all.
TEST_CASE("signatures reach every instance once within two seconds")
{
    Cluster cluster;
    std::array<std::atomic<int>, 3> received {};
    for (std::size_t index = 0; index < 3; ++index)
        cluster.instances[index]->node->onCrashSignature([&received, index](std::uint64_t signature) { received[index] += signature == ~0ULL ? 1 : 100; });
    REQUIRE(cluster.start());
    cluster.instances[1]->node->reportCrashSignature(~0ULL);
    CHECK(eventually([&] { return received[0] == 1 && received[1] == 1 && received[2] == 1; }, 2s));
    std::this_thread::sleep_for(500ms);
    CHECK((received[0] == 1 && received[1] == 1 && received[2] == 1));
}

// Guards against crash reports that wait for the next round of gossip, by which time each instance has
// run its copy of the crashing request again. A report that follows another one at once must arrive as well.
TEST_CASE("crash suspects reach every other instance without a round of gossip")
{
    // Each instance sends one round when it starts, and the next one only after the test.
    constexpr Duration roundInterval = std::chrono::hours(1);
    IoThreads platformThreads { 1 };
    FakePlatform platform { platformThreads };
    std::vector<std::unique_ptr<ClusterInstance>> instances;
    std::array<std::atomic<int>, 3> received {};
    for (std::size_t index = 0; index < received.size(); ++index) {
        std::vector<HttpEndpoint> seeds;
        if (index > 0)
            seeds.push_back(instances[0]->server.endpoint());
        instances.push_back(std::make_unique<ClusterInstance>("alpine-" + std::to_string(index), "alpine", platform.endpoint(), std::move(seeds), roundInterval));
        auto& node = *instances[index]->node;
        node.onCrashSuspect([&received, index](const CrashSuspect&) { ++received[index]; });
        node.start();
        REQUIRE(eventually([&] { return node.members().size() == index + 1 && instances[0]->node->members().size() == index + 1; }));
    }
    constexpr int reports = 12;
    for (int report = 1; report <= reports; ++report) {
        instances[2]->node->reportCrashSuspect({ static_cast<std::uint64_t>(report), "engine-3", "run-2", "alpine-2" });
        REQUIRE(eventually([&] { return received[0] >= report && received[1] >= report; }));
    }
    std::this_thread::sleep_for(700ms);
    CHECK((received[0] == reports && received[1] == reports && received[2] == 0));
    instances.clear();
    platformThreads.stop();
}

// Guards against instances that do not hear which prompts were on a crashed engine, or hear of their own
// reports.
TEST_CASE("reports on prompts reach every other instance once")
{
    Cluster cluster;
    const PromptReport report { "service", "booking-1", 9, false, { 5, 6, { 7, 8 } } };
    std::array<std::atomic<int>, 3> received {};
    for (std::size_t index = 0; index < 3; ++index)
        cluster.instances[index]->node->onPromptReport([&, index](const PromptReport& heard) { received[index] += heard == report ? 1 : 100; });
    REQUIRE(cluster.start());
    cluster.instances[1]->node->reportPrompt(report);
    CHECK(eventually([&] { return received[0] == 1 && received[2] == 1; }));
    std::this_thread::sleep_for(700ms);
    CHECK((received[0] == 1 && received[1] <= 1 && received[2] == 1));
}

// Guards against peer routes that serve a caller without the peer key.
TEST_CASE("peer routes need the peer key")
{
    Cluster cluster;
    auto& client = cluster.platformThreads.client(0);
    HttpRequest request { "GET", "/internal/v1/configuration", {}, {} };
    const auto answer = runOn(cluster.platformThreads, 0, client.request(cluster.instances[0]->server.endpoint(), request, 1s));
    REQUIRE(answer.has_value());
    CHECK(answer->status == 403);
}

// Guards against two holders of a lease, and against a lease that no instance can acquire after its release
// or after a lost reply.
TEST_CASE("a lease moves from one instance to another with a higher fencing number")
{
    Cluster cluster;
    REQUIRE(cluster.start());
    cluster.platform.loseReplies(1);
    const auto first = cluster.instances[0]->node->manageLease("orders", 2s);
    REQUIRE(eventually([&] { return first->fencingNumber() == 1; }));
    const auto second = cluster.instances[1]->node->manageLease("orders", 2s);
    std::this_thread::sleep_for(2500ms);
    CHECK(first->fencingNumber() == 1);
    CHECK_FALSE(second->fencingNumber());
    first->release();
    CHECK_FALSE(first->fencingNumber());
    CHECK(eventually([&] { return second->fencingNumber() == 2; }));
    cluster.platform.setDown(true);
    CHECK(eventually([&] { return !second->fencingNumber(); }, 3s));
}

// Guards against an instance that does not rejoin after it was frozen, and against peers that are not
// notified when it is declared dead.
TEST_CASE("a frozen instance is declared dead and rejoins")
{
    Cluster cluster;
    std::atomic<int> lost = 0;
    cluster.instances[0]->node->onMemberLost([&](const Member& member) { lost += member.id == "alpine-3" ? 1 : 100; });
    REQUIRE(cluster.start());
    auto& frozen = *cluster.instances[2];
    frozen.isFrozen = true;
    // The first I/O thread is blocked, so that neither timers nor calls run.
    std::promise<void> wake;
    boost::asio::post(frozen.threads.context(0), [&] { wake.get_future().wait(); });
    CHECK(eventually([&] { return lost == 1; }));
    CHECK(cluster.instances[0]->node->members().size() == 2);
    frozen.isFrozen = false;
    wake.set_value();
    CHECK(eventually([&] { return cluster.allInstances([](auto& instance) { return instance.node->members().size() == 3; }); }));
}
