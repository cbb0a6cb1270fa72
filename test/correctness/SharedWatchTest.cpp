#include "Pause.h"
#include "StoreDirectory.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// The objects of a store that is shared by all instances.
struct SharedStore {
    auto change(const std::string& name, bool isDeleted) -> void
    {
        const std::lock_guard guard(lock);
        log.push_back({ { name, ++revision, nullptr }, isDeleted });
    }

    std::mutex lock;
    std::int64_t revision = 10;
    std::vector<ItemChange> log;
};

/// One instance's access to the shared store, which counts its calls.
class SharedStoreClient final : public ObjectStore {
public:
    explicit SharedStoreClient(SharedStore& sharedStore)
        : m_sharedStore(sharedStore)
    {
    }
    auto list(HttpClient&, std::string kind, ReadMode) -> asio::awaitable<StoreResult<ItemList>> override
    {
        // All instances read the list of instances periodically, so these calls are not counted.
        calls += kind != "instances";
        co_await pause(1ms);
        const std::lock_guard guard(m_sharedStore.lock);
        ItemList result { .revision = m_sharedStore.revision };
        if (kind == "servers") {
            for (const auto& change : m_sharedStore.log) {
                std::erase_if(result.items, [&](const StoredItem& item) { return item.name == change.item.name; });
                if (!change.isDeleted)
                    result.items.push_back(change.item);
            }
        }
        co_return result;
    }
    auto watch(HttpClient&, std::string kind, std::int64_t revision, Duration wait) -> asio::awaitable<StoreResult<ItemChanges>> override
    {
        ++calls;
        for (Duration waited {}; waited < wait; waited += 1ms) {
            co_await pause(1ms);
            const std::lock_guard guard(m_sharedStore.lock);
            ItemChanges result { .revision = m_sharedStore.revision };
            for (const auto& change : m_sharedStore.log) {
                if (kind == "servers" && change.item.revision > revision)
                    result.changes.push_back(change);
            }
            if (!result.changes.empty())
                co_return result;
        }
        const std::lock_guard guard(m_sharedStore.lock);
        co_return ItemChanges { .revision = m_sharedStore.revision };
    }
    auto read(HttpClient&, std::string, std::string) -> asio::awaitable<StoreResult<StoredObject>> override { co_return StoredObject {}; }
    auto update(HttpClient&, std::string, std::string, boost::json::value, std::int64_t) -> asio::awaitable<StoreResult<UpdateOutcome>> override { co_return StoreError { StoreErrorKind::Unavailable, "none" }; }
    auto put(HttpClient&, std::string, std::string, boost::json::value) -> asio::awaitable<StoreResult<std::int64_t>> override { co_return std::int64_t { 1 }; }
    auto counts() const -> StoreCallCounts override { return {}; }

    /// Number of calls for the configuration and the backend servers.
    std::atomic<int> calls { 0 };

private:
    SharedStore& m_sharedStore;
};

struct Zone;

struct Instance {
    Instance(Zone& zone, SharedStore& sharedStore, std::string name);
    ~Instance() { threads.stop(); }
    Instance(const Instance&) = delete;
    auto operator=(const Instance&) -> Instance& = delete;

    SharedStoreClient store;
    EventLog log;
    /// Number of servers that are live in the instance's directory.
    std::atomic<int> live { 0 };
    IoThreads threads { 1 };
    std::shared_ptr<StoreDirectory> directory;
};

/// Five instances, of which three are watchers and two receive their updates.
struct Zone {
    Zone()
    {
        for (const auto* name : { "edge-1", "edge-2", "edge-3", "edge-4", "edge-5" })
            instances.push_back(std::make_unique<Instance>(*this, sharedStore, name));
        isComplete = true;
    }
    ~Zone()
    {
        isComplete = false;
        for (const auto& instance : instances)
            instance->threads.stop();
    }
    Zone(const Zone&) = delete;
    auto operator=(const Zone&) -> Zone& = delete;

    auto publish(const Instance& sender, const DirectoryUpdate& update) -> void
    {
        if (!isComplete || isSilent || (losesChanges && update.changes))
            return;
        for (const auto& instance : instances) {
            if (instance.get() != &sender)
                asio::post(instance->threads.context(0), [receiver = instance.get(), update] { receiver->directory->handleDirectoryUpdate(update); });
        }
    }

    auto last() -> Instance& { return *instances.back(); }

    /// @return whether all instances have this number of live servers within the timeout.
    auto reachesLiveCount(int live, Duration timeout) const -> bool
    {
        const auto deadline = monotonicNow() + timeout;
        const auto isReached = [&] { return std::ranges::all_of(instances, [&](const auto& instance) { return instance->live == live; }); };
        while (!isReached() && monotonicNow() < deadline)
            std::this_thread::sleep_for(1ms);
        return isReached();
    }

    SharedStore sharedStore;
    std::vector<std::unique_ptr<Instance>> instances;
    std::atomic<bool> isComplete { false };
    std::atomic<bool> isSilent { false };
    std::atomic<bool> losesChanges { false };
};

Instance::Instance(Zone& zone, SharedStore& sharedStore, std::string name)
    : store(sharedStore)
    , log(name, 16)
{
    DirectoryFormat format { .configurationKind = "config", .configurationName = "main", .backendKind = "servers", .instanceKind = "instances", .leaseKind = "leases" };
    format.readConfiguration = [](const StoredItem&) { return std::nullopt; };
    format.readBackend = [](const StoredItem& item) { return std::optional(BackendServer { .id = item.name }); };
    DirectoryCallbacks callbacks {
        .configuration = [](const Configuration&) {},
        .backends = [this](const std::vector<BackendServer>& backends) { live = static_cast<int>(std::ranges::count(backends, ReplicaState::Live, &BackendServer::state)); },
        .instanceCount = [](std::uint32_t) {},
        .peers = [](const std::vector<PeerAddress>&) {},
        .publishToZone = [this, &zone](const DirectoryUpdate& update) { zone.publish(*this, update); },
    };
    directory = std::make_shared<StoreDirectory>(threads, store, std::move(format), DirectorySettings { .instance = std::move(name), .availabilityZone = "alpine" }, log, std::move(callbacks));
    directory->start();
}

/// Longer than the interval between two messages of a watcher, and than a watch in progress.
constexpr auto settlingTime = 2s;

}

// Load pattern: many changes in a store that many instances watch, where each instance would make a call
// for each change.
TEST_CASE("an instance that receives changes from watchers applies them without a call")
{
    Zone zone;
    std::this_thread::sleep_for(settlingTime);
    const auto calls = zone.last().store.calls.load();
    for (int change = 1; change <= 5; ++change) {
        zone.sharedStore.change("server-" + std::to_string(change), false);
        REQUIRE(zone.reachesLiveCount(change, 500ms));
    }
    zone.sharedStore.change("server-2", true);
    REQUIRE(zone.reachesLiveCount(4, 500ms));
    CHECK(zone.last().store.calls == calls);
}

// Guards against an instance that applies later changes although an earlier one was lost in transit.
TEST_CASE("an instance that missed a change reads the list")
{
    Zone zone;
    std::this_thread::sleep_for(settlingTime);
    zone.losesChanges = true;
    zone.sharedStore.change("server-1", false);
    std::this_thread::sleep_for(300ms);
    CHECK(zone.last().live == 0);
    zone.losesChanges = false;
    zone.sharedStore.change("server-2", false);
    CHECK(zone.reachesLiveCount(2, 1s));
}

// Guards against an instance that relies on watchers that no longer send messages.
TEST_CASE("an instance that receives messages of no watcher watches the store itself")
{
    Zone zone;
    std::this_thread::sleep_for(settlingTime);
    zone.isSilent = true;
    zone.sharedStore.change("server-1", false);
    // The change has to take effect within two seconds.
    CHECK(zone.reachesLiveCount(1, 1800ms));
}
