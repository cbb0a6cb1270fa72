#include "../EntryHarness.h"
#include "../FakeRecords.h"

#include "ObjectStore.h"
#include "Pause.h"
#include "RoleBalancer.h"
#include "StoreRevision.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A store with a single object, the lease, which can be lost with a restore. Used on the first I/O thread only.
class LeaseStore final : public ObjectStore {
public:
    auto list(HttpClient&, std::string, ReadMode) -> asio::awaitable<StoreResult<ItemList>> override { co_return ItemList {}; }
    auto watch(HttpClient&, std::string, std::int64_t, Duration) -> asio::awaitable<StoreResult<ItemChanges>> override { co_return ItemChanges {}; }
    auto read(HttpClient&, std::string, std::string) -> asio::awaitable<StoreResult<StoredObject>> override { co_return m_object; }
    auto update(HttpClient&, std::string, std::string, boost::json::value value, std::int64_t expected) -> asio::awaitable<StoreResult<UpdateOutcome>> override
    {
        if (expected != 0 && historyOf(expected) != m_object.history)
            co_return StoreError { StoreErrorKind::OutcomeUnknown, "the store was restored" };
        if (m_object.revision == 0)
            m_createdAt = monotonicNow();
        m_object = { std::max(m_object.revision, makeRevision(m_object.history, 0)) + 1, std::move(value), m_object.history };
        co_return UpdateOutcome(UpdateApplied { m_object.revision });
    }
    auto put(HttpClient&, std::string, std::string, boost::json::value) -> asio::awaitable<StoreResult<std::int64_t>> override { co_return std::int64_t { 1 }; }
    auto counts() const -> StoreCallCounts override { return {}; }

    auto restore() -> void { m_object = { .history = m_object.history + 1 }; }
    auto history() const -> std::int64_t { return m_object.history; }
    auto hasObject() const -> bool { return m_object.revision != 0; }
    /// @return when the lease object was last created.
    auto createdAt() const -> TimePoint { return m_createdAt; }

private:
    StoredObject m_object;
    std::atomic<TimePoint> m_createdAt {};
};

std::atomic<TimePoint> orderedAt {};

/// Engines that accept every order.
auto acceptingProtocol() -> BackendProtocol
{
    auto protocol = nativeBackendProtocol();
    protocol.orderState = [](HttpClient&, BackendServer, Duration, NoticeHandler) -> asio::awaitable<EngineResult<EngineOrderState>> { co_return EngineOrderState {}; };
    protocol.orderRole = [](HttpClient&, BackendServer, RoleOrder, Duration, NoticeHandler) -> asio::awaitable<std::optional<EngineError>> {
        orderedAt = monotonicNow();
        co_return std::nullopt;
    };
    return protocol;
}

LeaseStore* storeToRestore = nullptr;

/// Restores the store while the first engine's state is read, and returns the state when the lease has been
/// acquired again.
auto orderStateDuringRestore(HttpClient&, BackendServer, Duration, NoticeHandler) -> asio::awaitable<EngineResult<EngineOrderState>>
{
    if (storeToRestore->history() == 0) {
        storeToRestore->restore();
        while (!storeToRestore->hasObject())
            co_await pause(10ms);
    }
    co_return EngineOrderState {};
}

/// Four idle prefill engines, and two decode engines on which peers have reserved almost all slots.
auto addImbalance(ServiceTable& services) -> void
{
    auto configuration = std::make_shared<Configuration>(*entryConfiguration());
    configuration->services.front().roleChangeTime = 1s;
    services.updateConfiguration(configuration);
    std::vector<BackendServer> servers;
    for (const auto* id : { "prefill-1", "prefill-2", "prefill-3", "prefill-4" })
        servers.push_back({ .id = id, .endpoint = { "127.0.0.1", 1 }, .availabilityZone = "alpine", .pool = "prefill" });
    for (const auto* id : { "decode-1", "decode-2" })
        servers.push_back({ .id = id, .endpoint = { "127.0.0.1", 1 }, .availabilityZone = "alpine", .pool = "decode" });
    services.updateBackends(servers);
    const std::vector<BackendUsage> usages { { .backend = "decode-1", .slots = 19 }, { .backend = "decode-2", .slots = 19 } };
    services.updatePeerUsage(usages);
}

}

// Guards against instances that send prompts to engines which reject them because they were just ordered
// to change their role. In the scenario trouble-1 of the grown Bab Amen site, engines rejected 45 prompts
// in 0.1 s.
TEST_CASE("a role change is announced before it is ordered")
{
    const EntrySettings settings { .instance = "entry-1", .availabilityZone = "alpine" };
    EventLog log { "entry-1" };
    IoThreads threads { 1 };
    const auto protocol = acceptingProtocol();
    EntryContext context { .settings = settings, .threads = threads, .log = log, .backendProtocol = protocol };
    FakeRecords records;
    ServiceTable services { context, records, [](std::string_view, std::string_view) { return false; } };
    addImbalance(services);
    LeaseStore store;
    RoleBalancerSettings balancerSettings { .leaseKind = "leases", .minOrderInterval = 10ms, .balance = { .window = 1s, .rampUp = 10ms, .warmUp = 20ms, .cooldown = 10s } };
    const auto balancer = std::make_shared<RoleBalancer>(context, store, balancerSettings, RoleBalancerCallbacks { [&] { return services.modelServices(); }, [] { return true; } });
    orderedAt = TimePoint {};
    balancer->start();
    std::optional<TimePoint> announcedAt;
    const auto isOrdered = waitFor(
        [&] {
            std::promise<bool> answer;
            asio::post(threads.context(0), [&] { answer.set_value(!balancer->backendsChangingRole().empty()); });
            if (answer.get_future().get() && !announcedAt)
                announcedAt = monotonicNow();
            return orderedAt.load() != TimePoint {};
        },
        8s);
    services.stop();
    threads.stop();
    REQUIRE(isOrdered);
    REQUIRE(announcedAt);
    // Within 540 ms each peer in another zone receives a load message, which carries the announcement.
    CHECK(orderedAt.load() - *announcedAt >= 540ms);
}

// Guards against an order that follows too soon after one of another instance: if the lease is lost and acquired
// again while an engine's state is read, another instance may have held it in between.
TEST_CASE("no order is sent under a lease acquired again before the wait for other holders' orders")
{
    const EntrySettings settings { .instance = "entry-1", .availabilityZone = "alpine" };
    EventLog log { "entry-1" };
    IoThreads threads { 1 };
    auto protocol = acceptingProtocol();
    protocol.orderState = orderStateDuringRestore;
    EntryContext context { .settings = settings, .threads = threads, .log = log, .backendProtocol = protocol };
    FakeRecords records;
    ServiceTable services { context, records, [](std::string_view, std::string_view) { return false; } };
    addImbalance(services);
    LeaseStore store;
    storeToRestore = &store;
    RoleBalancerSettings balancerSettings { .leaseKind = "leases", .minOrderInterval = 500ms, .balance = { .window = 1s, .rampUp = 10ms, .warmUp = 20ms, .cooldown = 1s } };
    const auto balancer = std::make_shared<RoleBalancer>(context, store, balancerSettings, RoleBalancerCallbacks { [&] { return services.modelServices(); }, [] { return true; } });
    orderedAt = TimePoint {};
    balancer->start();
    const auto isOrdered = waitFor([] { return orderedAt.load() != TimePoint {}; }, 20s);
    services.stop();
    threads.stop();
    REQUIRE(isOrdered);
    CHECK(store.history() == 1);
    CHECK(orderedAt.load() - store.createdAt() >= balancerSettings.minOrderInterval);
    CHECK(std::ranges::count(log.after(0, EventLog::defaultCapacity), "lease_acquired", &LoggedEvent::event) == 2);
}
