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

/// The objects of one store, which all instances see.
struct World {
    auto change(const std::string& name, bool isDeleted) -> void
    {
        const std::lock_guard guard(lock);
        log.push_back({ { name, ++revision, nullptr }, isDeleted });
    }

    std::mutex lock;
    std::int64_t revision = 10;
    std::vector<ItemChange> log;
};

/// One instance's calls to the store.
class WorldStore final : public ObjectStore {
public:
    explicit WorldStore(World& world)
        : m_world(world)
    {
    }
    auto list(HttpClient&, std::string kind, ReadMode) -> asio::awaitable<StoreResult<ItemList>> override
    {
        // The list of instances is read by all of them, now and then.
        calls += kind != "instances";
        co_await pause(1ms);
        const std::lock_guard guard(m_world.lock);
        ItemList result { .revision = m_world.revision };
        if (kind == "servers") {
            for (const auto& change : m_world.log) {
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
            const std::lock_guard guard(m_world.lock);
            ItemChanges result { .revision = m_world.revision };
            for (const auto& change : m_world.log) {
                if (kind == "servers" && change.item.revision > revision)
                    result.changes.push_back(change);
            }
            if (!result.changes.empty())
                co_return result;
        }
        const std::lock_guard guard(m_world.lock);
        co_return ItemChanges { .revision = m_world.revision };
    }
    auto read(HttpClient&, std::string, std::string) -> asio::awaitable<StoreResult<StoredObject>> override { co_return StoredObject {}; }
    auto update(HttpClient&, std::string, std::string, boost::json::value, std::int64_t) -> asio::awaitable<StoreResult<UpdateOutcome>> override { co_return StoreError { StoreErrorKind::Unavailable, "none" }; }
    auto put(HttpClient&, std::string, std::string, boost::json::value) -> asio::awaitable<StoreResult<std::int64_t>> override { co_return std::int64_t { 1 }; }
    auto counts() const -> StoreCallCounts override { return {}; }

    /// For the configuration and the backend servers.
    std::atomic<int> calls { 0 };

private:
    World& m_world;
};

struct Zone;

struct Instance {
    Instance(Zone& zone, World& world, std::string name);
    ~Instance() { threads.stop(); }
    Instance(const Instance&) = delete;
    auto operator=(const Instance&) -> Instance& = delete;

    WorldStore store;
    EventLog log;
    /// Servers that the instance believes live.
    std::atomic<int> live { 0 };
    IoThreads threads { 1 };
    std::shared_ptr<StoreDirectory> directory;
};

/// Five instances, of which three watch and two are told.
struct Zone {
    Zone()
    {
        for (const auto* name : { "edge-1", "edge-2", "edge-3", "edge-4", "edge-5" })
            instances.push_back(std::make_unique<Instance>(*this, world, name));
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

    auto tell(const Instance& sender, const DirectoryUpdate& news) -> void
    {
        if (!isComplete || isSilent || (losesChanges && news.changes))
            return;
        for (const auto& instance : instances) {
            if (instance.get() != &sender)
                asio::post(instance->threads.context(0), [receiver = instance.get(), news] { receiver->directory->handleDirectoryUpdate(news); });
        }
    }

    auto last() -> Instance& { return *instances.back(); }

    /// @return whether all instances believe in so many live servers within the time.
    auto believes(int live, Duration time) const -> bool
    {
        const auto latest = monotonicNow() + time;
        const auto isKnown = [&] { return std::ranges::all_of(instances, [&](const auto& instance) { return instance->live == live; }); };
        while (!isKnown() && monotonicNow() < latest)
            std::this_thread::sleep_for(1ms);
        return isKnown();
    }

    World world;
    std::vector<std::unique_ptr<Instance>> instances;
    std::atomic<bool> isComplete { false };
    std::atomic<bool> isSilent { false };
    std::atomic<bool> losesChanges { false };
};

Instance::Instance(Zone& zone, World& world, std::string name)
    : store(world)
    , log(name, 16)
{
    DirectoryFormat format { .configurationKind = "config", .configurationName = "main", .backendKind = "servers", .instanceKind = "instances", .leaseKind = "leases" };
    format.readConfiguration = [](const StoredItem&) { return std::nullopt; };
    format.readBackend = [](const StoredItem& item) { return std::optional(BackendServer { .id = item.name }); };
    DirectoryCallbacks callbacks {
        .configuration = [](const Configuration&) {},
        .backends = [this](const std::vector<BackendServer>& backends) { live = static_cast<int>(std::ranges::count(backends, ReplicaState::Live, &BackendServer::state)); },
        .instances = [](std::uint32_t, const std::vector<PeerAddress>&) {},
        .publishToZone = [this, &zone](const DirectoryUpdate& news) { zone.tell(*this, news); },
    };
    directory = std::make_shared<StoreDirectory>(threads, store, std::move(format), DirectorySettings { .instance = std::move(name), .availabilityZone = "alpine" }, log, std::move(callbacks));
    directory->start();
}

/// Longer than the time between two messages of a watcher, and than a watch that is still under way.
constexpr auto settlingTime = 2s;

}

// Load pattern: many changes in a store that many instances follow; each instance paid for each change.
TEST_CASE("an instance that is told of changes takes them without a call")
{
    Zone zone;
    std::this_thread::sleep_for(settlingTime);
    const auto calls = zone.last().store.calls.load();
    for (int change = 1; change <= 5; ++change) {
        zone.world.change("server-" + std::to_string(change), false);
        REQUIRE(zone.believes(change, 500ms));
    }
    zone.world.change("server-2", true);
    REQUIRE(zone.believes(4, 500ms));
    CHECK(zone.last().store.calls == calls);
}

// Guards against an instance that takes later changes although one before them was lost on the way.
TEST_CASE("an instance that missed a change reads the list")
{
    Zone zone;
    std::this_thread::sleep_for(settlingTime);
    zone.losesChanges = true;
    zone.world.change("server-1", false);
    std::this_thread::sleep_for(300ms);
    CHECK(zone.last().live == 0);
    zone.losesChanges = false;
    zone.world.change("server-2", false);
    CHECK(zone.believes(2, 1s));
}

// Guards against an instance that trusts in watchers which have fallen silent.
TEST_CASE("an instance that hears of no watcher follows the store itself")
{
    Zone zone;
    std::this_thread::sleep_for(settlingTime);
    zone.isSilent = true;
    zone.world.change("server-1", false);
    // The change has to take effect within two seconds.
    CHECK(zone.believes(1, 1800ms));
}
