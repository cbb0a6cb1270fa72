#include "StoreDirectory.h"
#include "Pause.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A store whose watches take several steps, as real calls do.
class SteppingStore final : public ObjectStore {
public:
    auto list(HttpClient&, std::string, ReadMode) -> asio::awaitable<StoreResult<ItemList>> override
    {
        ++lists;
        if (throws.exchange(false))
            throw std::runtime_error("a fault of the adapter");
        co_await pause(1ms);
        ItemList result;
        result.items.push_back({ "main", 1, nullptr });
        result.items.push_back({ "newest", itemRevision, nullptr });
        if (listsServer)
            result.items.push_back({ "server", 1, nullptr });
        result.revision = ++m_revision;
        co_return result;
    }
    auto watch(HttpClient&, std::string, std::int64_t, Duration) -> asio::awaitable<StoreResult<ItemChanges>> override
    {
        ++watches;
        if (throws.exchange(false))
            throw std::runtime_error("a fault of the adapter");
        for (int step = 0; step < 4; ++step)
            co_await pause(1ms);
        if (forgets)
            co_return StoreError { StoreErrorKind::HistoryGone, "status 410" };
        ItemChanges result;
        result.revision = ++m_revision;
        co_return result;
    }
    auto read(HttpClient&, std::string, std::string) -> asio::awaitable<StoreResult<StoredObject>> override { co_return StoredObject {}; }
    auto update(HttpClient&, std::string, std::string, boost::json::value, std::int64_t) -> asio::awaitable<StoreResult<UpdateOutcome>> override { co_return StoreError { StoreErrorKind::Unavailable, "none" }; }
    auto put(HttpClient&, std::string, std::string, boost::json::value) -> asio::awaitable<StoreResult<std::int64_t>> override { co_return std::int64_t { 1 }; }
    auto counts() const -> StoreCallCounts override { return {}; }

    std::atomic<int> lists { 0 };
    std::atomic<int> watches { 0 };
    std::atomic<bool> throws { false };
    /// Whether watches find that the history is gone.
    std::atomic<bool> forgets { false };
    /// Whether lists have the object of a backend server.
    std::atomic<bool> listsServer { true };
    /// Of the newest object in a list.
    std::atomic<std::int64_t> itemRevision { 2 };

private:
    std::atomic<std::int64_t> m_revision { 0 };
};

struct Scene {
    Scene()
    {
        DirectoryFormat format { .configurationKind = "config", .configurationName = "main", .backendKind = "servers", .instanceKind = "instances", .leaseKind = "leases" };
        format.readConfiguration = [](const StoredItem&) { return std::nullopt; };
        format.readBackend = [](const StoredItem& item) { return item.name == "server" ? std::optional(BackendServer { .id = "server" }) : std::nullopt; };
        DirectoryCallbacks callbacks {
            .configuration = [](const Configuration&) {},
            .backends = [](const std::vector<BackendServer>&) {},
            .instances = [](std::uint32_t, const std::vector<PeerAddress>&) {},
            .changed = [this](const std::string&, std::int64_t revision) { told = std::max(told.load(), revision); },
        };
        directory = std::make_shared<StoreDirectory>(threads, store, std::move(format), DirectorySettings { .instance = "edge-1", .availabilityZone = "alpine" }, log, std::move(callbacks));
        directory->start();
    }
    ~Scene() { threads.stop(); }
    Scene(const Scene&) = delete;
    auto operator=(const Scene&) -> Scene& = delete;

    /// @return whether both kinds are still followed.
    auto isFollowing() -> bool
    {
        const auto lists = store.lists.load();
        const auto watches = store.watches.load();
        std::this_thread::sleep_for(200ms);
        return store.lists + store.watches > lists + watches + 20;
    }

    SteppingStore store;
    std::atomic<std::int64_t> told { 0 };
    EventLog log { "edge-1", 16 };
    IoThreads threads { 1 };
    std::shared_ptr<StoreDirectory> directory;
};

}

// Guards against an instance that never hears of a change again because a peer's news of one ended its
// watch in the middle of a step (found by the soak, seed 123).
TEST_CASE("news from peers never end the watch of the store")
{
    Scene scene;
    for (int round = 0; round < 200; ++round) {
        asio::post(scene.threads.context(0), [&, round] { scene.directory->handlePeerRevision(round % 2 ? "servers" : "config", 1'000'000 + round); });
        std::this_thread::sleep_for(500us * (round % 7));
    }
    CHECK(scene.isFollowing());
}

// Guards against an instance that lives on without its lists after an unforeseen fault in one call.
TEST_CASE("a fault in one call does not end the watch of the store")
{
    Scene scene;
    for (int round = 0; round < 6; ++round) {
        scene.store.throws = true;
        asio::post(scene.threads.context(0), [&, round] { scene.directory->handlePeerRevision("servers", 1'000'000 + round); });
        std::this_thread::sleep_for(300ms);
    }
    CHECK(scene.isFollowing());
}

// Guards against instances that keep an old configuration because the store forgot its history while
// their watches waited, and the first to find the change in a list told nobody (found by a hunt: grown
// Bab Amen, scale-2, seed 353305229677).
TEST_CASE("a change that only a list shows is told to the peers")
{
    Scene scene;
    std::this_thread::sleep_for(50ms);
    CHECK(scene.told == 2);
    scene.store.itemRevision = 77;
    scene.store.forgets = true;
    std::this_thread::sleep_for(100ms);
    CHECK(scene.told == 77);
}

// Guards against instances that send work to a backend server that left while the store forgot its
// history: the list in which it is missing names no revision of its own.
TEST_CASE("a backend server that only a list shows to be gone is told to the peers")
{
    Scene scene;
    std::this_thread::sleep_for(50ms);
    REQUIRE(scene.told == 2);
    scene.store.listsServer = false;
    scene.store.forgets = true;
    std::this_thread::sleep_for(100ms);
    CHECK(scene.told > 2);
}
