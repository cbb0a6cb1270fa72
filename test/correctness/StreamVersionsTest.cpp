#include "../HttpTestServer.h"
#include "../RestorableStore.h"

#include "StreamVersions.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const std::string kind = "versions";

/// One instance's access to a store that may be away or lose answers.
class FaultyStore final : public ObjectStore {
public:
    explicit FaultyStore(RestorableStore& store)
        : m_client(store)
    {
        m_client.listDelay = 5ms;
    }
    auto list(HttpClient& client, std::string listed, ReadMode mode) -> asio::awaitable<StoreResult<ItemList>> override
    {
        ++lists;
        if (isDown || failedLists-- > 0)
            co_return StoreError { StoreErrorKind::Unavailable, "down", Duration::zero() };
        co_return co_await m_client.list(client, std::move(listed), mode);
    }
    auto watch(HttpClient&, std::string, std::int64_t, Duration) -> asio::awaitable<StoreResult<ItemChanges>> override { co_return ItemChanges {}; }
    auto read(HttpClient& client, std::string objectKind, std::string name) -> asio::awaitable<StoreResult<StoredObject>> override
    {
        if (isDown)
            co_return StoreError { StoreErrorKind::Unavailable, "down", Duration::zero() };
        co_return co_await m_client.read(client, std::move(objectKind), std::move(name));
    }
    auto update(HttpClient& client, std::string objectKind, std::string name, boost::json::value value, std::int64_t expectedRevision) -> asio::awaitable<StoreResult<UpdateOutcome>> override
    {
        if (isDown)
            co_return StoreError { StoreErrorKind::Unavailable, "down", Duration::zero() };
        ++updates;
        auto outcome = co_await m_client.update(client, std::move(objectKind), std::move(name), std::move(value), expectedRevision);
        if (lostReplies > 0) {
            --lostReplies;
            co_return StoreError { StoreErrorKind::OutcomeUnknown, "lost", Duration::zero() };
        }
        co_return outcome;
    }
    auto put(HttpClient&, std::string, std::string, boost::json::value) -> asio::awaitable<StoreResult<std::int64_t>> override { co_return std::int64_t { 1 }; }
    auto counts() const -> StoreCallCounts override { return {}; }

    std::atomic<bool> isDown { false };
    std::atomic<int> lostReplies { 0 };
    /// Calls for a list that fail from now on.
    std::atomic<int> failedLists { 0 };
    std::atomic<int> lists { 0 };
    std::atomic<int> updates { 0 };

private:
    RestorableStoreClient m_client;
};

/// One process of an instance.
struct Process {
    Process(RestorableStore& restorable, const std::string& name, const std::set<std::string>& listed)
        : store(restorable)
        , log(name, 16)
        , versions(std::make_shared<StreamVersions>(threads, store, kind, name, log, StreamVersionsCallbacks { .written = [this](std::int64_t) { ++written; }, .askPeers = [this](std::uint64_t number) { asked = number; } }))
    {
        log.setMinimumLevel(LogLevel::Error);
        versions->updateLifetimes({ { "llm", 2s } });
        list(listed);
        versions->start();
    }
    ~Process() { threads.stop(); }
    Process(const Process&) = delete;
    auto operator=(const Process&) -> Process& = delete;

    /// Sets the versions of the listed servers, all of which are decode engines.
    auto list(const std::set<std::string>& listed) -> void { versions->updateListed({ { "llm", { listed, listed } } }); }

    /// Waits until the first event of a stream may be sent.
    auto begin(const std::string& request, const std::string& version) -> void
    {
        versions->announce("llm", request, version);
        asio::co_spawn(threads.context(0), versions->waitForRecord("llm", request, version), asio::use_future).get();
    }
    auto beginInBackground(const std::string& request, const std::string& version) -> std::future<bool>
    {
        return asio::co_spawn(threads.context(0), versions->waitForRecord("llm", request, version), asio::use_future);
    }
    auto find(const std::string& resumed) -> StreamVersionAnswer
    {
        const auto answer = runOn(threads, 0, versions->find("llm", resumed));
        REQUIRE(answer);
        return *answer;
    }

    FaultyStore store;
    EventLog log;
    IoThreads threads { 1 };
    std::atomic<int> written { 0 };
    /// Number of the last question to the peers.
    std::atomic<std::uint64_t> asked { 0 };
    std::shared_ptr<StreamVersions> versions;
};

template <typename Condition>
auto waitUntil(Condition condition) -> bool
{
    for (const auto end = monotonicNow() + 5s; !condition();) {
        if (monotonicNow() > end)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

auto stateOf(const RestorableStore& store) -> std::optional<StreamVersionState>
{
    return streamVersionStateFromJson(store.read(kind, streamStateName("llm")).value);
}

/// Waits until a state with the number is in the store.
auto waitForEpoch(const RestorableStore& store, std::uint64_t epoch) -> bool
{
    return waitUntil([&] {
        const auto state = stateOf(store);
        return state && state->epoch >= epoch;
    });
}

}

// Guards against a write for each stream while one version is in service, and against streams that are lost then.
TEST_CASE("with one version nothing is written but the state, and other instances know the version")
{
    RestorableStore store;
    Process first(store, "entry-1", { "v1" });
    Process second(store, "entry-2", { "v1" });
    REQUIRE(waitUntil([&] { return first.versions->isReady() && second.versions->isReady(); }));
    REQUIRE(waitForEpoch(store, 1));
    // Longer than the delay with which the other instances change a state.
    std::this_thread::sleep_for(200ms);
    const auto updates = first.store.updates + second.store.updates;
    for (int request = 0; request < 20; ++request)
        first.begin("request-" + std::to_string(request), "v1");
    CHECK(first.store.updates + second.store.updates == updates);
    CHECK(second.find("request-3").version == "v1");
    CHECK(second.find("request-3").source == StreamVersionSource::Memory);
    CHECK(first.find("request-3").source == StreamVersionSource::Memory);
}

// Guards against an event that reaches the caller before any other process can know the version.
TEST_CASE("while several versions are in service a new process finds the version of each stream")
{
    RestorableStore store;
    {
        Process first(store, "entry-1", { "v1", "v2" });
        REQUIRE(waitUntil([&] { return first.versions->isReady(); }));
        first.begin("a", "v1");
        first.begin("b", "v2");
        // The server that was chosen first has failed, and one of another version sends the first event.
        first.versions->announce("llm", "c", "v1");
        first.begin("c", "v2");
    }
    Process second(store, "entry-2", { "v1", "v2" });
    REQUIRE(waitUntil([&] { return second.versions->isReady(); }));
    CHECK(second.find("a").version == "v1");
    CHECK(second.find("b").version == "v2");
    CHECK(second.find("c").version == "v2");
    CHECK(second.find("c").source == StreamVersionSource::Memory);
    CHECK_FALSE(second.find("never").version);
    CHECK_FALSE(second.find("never").isStoreAway);
    CHECK(second.versions->counts().record == 3);
    CHECK(second.versions->counts().unknown == 2);
}

// Guards against an event of another version than the default that is sent without a record.
TEST_CASE("a stream of another version waits for its record while the store is away")
{
    RestorableStore store;
    Process process(store, "entry-1", { "v1" });
    REQUIRE(waitForEpoch(store, 1));
    REQUIRE(waitUntil([&] { return process.written == 1; }));
    process.store.isDown = true;
    process.list({ "v1", "v2" });
    process.begin("a", "v1");
    auto other = process.beginInBackground("b", "v2");
    CHECK(other.wait_for(600ms) == std::future_status::timeout);
    CHECK(process.versions->versionWithoutStore("llm") == "v1");
    process.store.isDown = false;
    CHECK(other.wait_for(1s) == std::future_status::ready);
    const auto records = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
    REQUIRE(records);
    CHECK(records->at("b").version == "v2");
    CHECK(process.versions->counts().lateRecords == 1);
}

// Guards against streams that wait for long although nothing attributes them to another version.
TEST_CASE("without a default the first event waits for a limited time only")
{
    RestorableStore store;
    Process process(store, "entry-1", { "v1", "v2" });
    REQUIRE(waitForEpoch(store, 1));
    // All instances know the versions then.
    std::this_thread::sleep_for(StreamVersionTimes {}.spreadTime + 200ms);
    process.store.isDown = true;
    auto stream = process.beginInBackground("a", "v1");
    CHECK(stream.wait_for(600ms) == std::future_status::ready);
    CHECK(process.find("a").version == "v1");
    const auto unknown = process.find("b");
    CHECK_FALSE(unknown.version);
    CHECK(unknown.isStoreAway);
}

// Guards against a first event that is sent before the record of its stream is corrected in the store, where another
// instance finds the version of the server that was chosen first.
TEST_CASE("a stream that moves to another version while the store is away waits until its record is corrected")
{
    RestorableStore store;
    Process process(store, "entry-1", { "v1", "v2" });
    REQUIRE(waitForEpoch(store, 1));
    // All instances know the versions then.
    std::this_thread::sleep_for(StreamVersionTimes {}.spreadTime + 200ms);
    const auto recordedVersion = [&]() -> std::string {
        const auto records = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
        return records && records->contains("a") ? records->at("a").version : "";
    };
    process.versions->announce("llm", "a", "v2");
    REQUIRE(waitUntil([&] { return recordedVersion() == "v2"; }));
    process.store.isDown = true;
    process.versions->announce("llm", "a", "v1");
    auto moved = process.beginInBackground("a", "v1");
    CHECK(moved.wait_for(600ms) == std::future_status::timeout);
    CHECK(recordedVersion() == "v2");
    process.store.isDown = false;
    REQUIRE(moved.wait_for(1s) == std::future_status::ready);
    CHECK(moved.get());
    CHECK(recordedVersion() == "v1");
}

// Guards against streams that wait forever, or records that are lost, after an answer of the store was lost.
TEST_CASE("lost answers of the store delay a record but do not lose it")
{
    RestorableStore store;
    Process process(store, "entry-1", { "v1", "v2" });
    REQUIRE(waitForEpoch(store, 1));
    process.begin("a", "v1");
    process.store.lostReplies = 2;
    process.begin("b", "v2");
    const auto records = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
    REQUIRE(records);
    CHECK(records->size() == 2);
    CHECK(process.store.lostReplies == 0);
}

// Guards against records and states that a restore of the store takes away.
TEST_CASE("after a restore the records and the state are written again")
{
    RestorableStore store;
    store.saveCopy();
    Process process(store, "entry-1", { "v1", "v2" });
    REQUIRE(waitForEpoch(store, 1));
    process.begin("a", "v1");
    store.restore();
    CHECK_FALSE(stateOf(store));
    process.versions->handleApplied(true, makeRevision(store.history(), 1));
    CHECK(waitForEpoch(store, 2));
    CHECK(stateOf(store)->history == store.history());
    CHECK_FALSE(stateOf(store)->defaultVersion);
    CHECK(waitUntil([&] {
        const auto records = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
        return records && records->contains("a");
    }));
}

// Guards against a record of an older copy of the store that was corrected after the copy, if the instance that corrected it
// has ended before it could do so again.
TEST_CASE("a record that may have been corrected after the copy of a restored store is not used")
{
    RestorableStore store;
    {
        Process first(store, "entry-1", { "v1", "v2" });
        REQUIRE(waitForEpoch(store, 1));
        first.begin("begun", "v1");
        first.versions->handleFirstEvent("begun");
        first.versions->announce("llm", "moved", "v1");
        REQUIRE(waitUntil([&] {
            const auto records = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
            return records && records->contains("moved");
        }));
        store.saveCopy();
        first.begin("moved", "v2");
    }
    store.restore();
    Process second(store, "entry-2", { "v1", "v2" });
    REQUIRE(waitUntil([&] { return second.versions->isReady(); }));
    CHECK(second.find("begun").version == "v1");
    CHECK_FALSE(second.find("moved").version);
    // The next process of the instance does not confirm what may be outdated.
    Process next(store, "entry-1", { "v1", "v2" });
    REQUIRE(waitUntil([&] { return next.versions->isReady(); }));
    next.begin("other", "v2");
    CHECK(second.find("other").version == "v2");
    CHECK_FALSE(second.find("moved").version);
}

// Guards against an id of a request that makes the object of all records of its instance one that the store refuses, so that
// none of its streams can be taken up elsewhere.
TEST_CASE("ids of requests that are long or no valid text are recorded like others")
{
    constexpr std::size_t maxObjectBytes = 1'048'576;
    RestorableStore store;
    Process first(store, "entry-1", { "v1", "v2" });
    Process second(store, "entry-2", { "v1", "v2" });
    REQUIRE(waitForEpoch(store, 1));
    first.begin("odd-\xff", "v1");
    first.begin("odd-\xfe", "v2");
    for (int request = 0; request < 70; ++request)
        first.versions->announce("llm", std::string(16'000, 'x') + std::to_string(request), "v1");
    first.begin("plain", "v2");
    const auto text = boost::json::serialize(store.read(kind, streamRecordsName("entry-1")).value);
    boost::system::error_code code;
    boost::json::parse(text, code);
    CHECK_FALSE(code);
    CHECK(text.size() < maxObjectBytes);
    CHECK(second.find("odd-\xff").version == "v1");
    CHECK(second.find("odd-\xfe").version == "v2");
    CHECK(second.find(std::string(16'000, 'x') + "7").version == "v1");
    CHECK(second.find("plain").version == "v2");
    CHECK_FALSE(second.find("odd-").version);
}

// Guards against a new process that overwrites the records of the one before.
TEST_CASE("a new process of an instance keeps the records of the one before")
{
    RestorableStore store;
    {
        Process process(store, "entry-1", { "v1", "v2" });
        REQUIRE(waitForEpoch(store, 1));
        process.begin("a", "v1");
    }
    Process process(store, "entry-1", { "v1", "v2" });
    REQUIRE(waitUntil([&] { return process.versions->isReady(); }));
    process.begin("b", "v2");
    const auto records = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
    REQUIRE(records);
    CHECK(records->size() == 2);
    // The streams have ended after their lifetime.
    CHECK(waitUntil([&] {
        const auto left = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
        return left && left->empty();
    }));
}

// Guards against a list for each take-up when many callers come back together.
TEST_CASE("take-ups that wait at the same time share a list")
{
    RestorableStore store;
    Process process(store, "entry-1", { "v1" });
    REQUIRE(waitForEpoch(store, 1));
    const auto lists = process.store.lists.load();
    std::vector<std::future<std::optional<StreamVersionAnswer>>> finds;
    constexpr int streams = 200;
    finds.reserve(streams);
    for (int stream = 0; stream < streams; ++stream)
        finds.push_back(asio::co_spawn(process.threads.context(0), process.versions->find("llm", "request-" + std::to_string(stream)), asio::use_future));
    for (auto& find : finds)
        CHECK(find.get()->version == "v1");
    CHECK(process.store.lists - lists <= 3);
}

// Guards against take-ups that are refused because the connection to the store was reset together with those of callers.
TEST_CASE("a take-up waits for another list if one fails")
{
    RestorableStore store;
    Process process(store, "entry-1", { "v1" });
    REQUIRE(waitForEpoch(store, 1));
    process.store.failedLists = 2;
    CHECK(process.find("a").version == "v1");
    process.store.isDown = true;
    const auto answer = process.find("b");
    CHECK_FALSE(answer.version);
    CHECK(answer.isStoreAway);
}

// Guards against services without versions whose streams are refused or recorded.
TEST_CASE("a service whose servers name no version is left alone")
{
    RestorableStore store;
    Process process(store, "entry-1", { "" });
    REQUIRE(waitUntil([&] { return process.versions->isReady(); }));
    process.begin("a", "");
    CHECK_FALSE(runOn(process.threads, 0, process.versions->find("llm", "a")));
    std::this_thread::sleep_for(300ms);
    CHECK(process.store.updates == 0);
}

// Guards against a stream of a service that has no servers just now and goes on at the next version that appears, and
// against an event of a server whose version was not listed yet.
TEST_CASE("a service without servers and without a state has no known version")
{
    RestorableStore store;
    Process process(store, "entry-1", {});
    REQUIRE(waitUntil([&] { return process.versions->isReady(); }));
    CHECK_FALSE(process.find("a").version);
    process.begin("b", "v1");
    const auto records = streamRecordsFromJson(store.read(kind, streamRecordsName("entry-1")).value);
    REQUIRE(records);
    CHECK(records->contains("b"));
}

// Guards against an instance that goes by an old state although a peer has reported the change.
TEST_CASE("a state that a peer has reported is read")
{
    RestorableStore store;
    Process first(store, "entry-1", { "v1" });
    REQUIRE(waitForEpoch(store, 1));
    Process second(store, "entry-2", { "v1" });
    REQUIRE(waitUntil([&] { return second.versions->isReady(); }));
    first.list({ "v1", "v2" });
    REQUIRE(waitForEpoch(store, 2));
    // Without the store nothing shows the new state, and the old one may not count any more after some time.
    second.store.isDown = true;
    second.versions->handlePeerRevision(kind, false, store.snapshot(kind).revision);
    std::this_thread::sleep_for(1100ms);
    auto waiting = second.beginInBackground("waiting", "v1");
    CHECK(waiting.wait_for(500ms) == std::future_status::timeout);
    second.store.isDown = false;
    CHECK(waiting.wait_for(2s) == std::future_status::ready);
    const auto updates = second.store.updates.load();
    second.versions->handlePeerRevision(kind, false, store.snapshot(kind).revision);
    // The old version is recorded too now.
    second.begin("a", "v1");
    CHECK(second.store.updates == updates + 1);
}

// Guards against servers that do not count although streams may have begun at them.
TEST_CASE("leaving servers and prefill engines count as listed, and live decode engines can begin streams")
{
    Configuration configuration;
    Service service;
    service.name = "llm";
    service.type = ServiceType::Model;
    service.pools = { { .name = "p", .role = PoolRole::Prefill }, { .name = "d", .role = PoolRole::Decode } };
    RequestKind kindSettings;
    kindSettings.repeatable = true;
    kindSettings.deadline = 9s;
    service.kinds = { kindSettings };
    configuration.services = { service };
    const std::vector<BackendServer> servers {
        { .id = "1", .pool = "p", .softwareVersion = "v1" },
        { .id = "2", .pool = "d", .state = ReplicaState::Leaving, .softwareVersion = "v2" },
        { .id = "3", .pool = "d", .softwareVersion = "v3" },
        { .id = "4", .pool = "other", .softwareVersion = "v4" },
    };
    const auto versions = listedVersions(configuration, servers);
    CHECK(versions.at("llm").all == std::set<std::string> { "v1", "v2", "v3" });
    CHECK(versions.at("llm").serving == std::set<std::string> { "v3" });
    CHECK(streamLifetimes(configuration).at("llm") == 14s);
}

// Guards against a stream that goes on at the only version that an instance knows because it was cut off from the store and
// from its peers, or stood still, while servers of another version joined.
TEST_CASE("without the store a stream is taken up only if all peers know of no later change of the servers")
{
    RestorableStore store;
    Process process(store, "edge-1", { "v1" });
    REQUIRE(waitUntil([&] { return process.versions->isReady(); }));
    process.versions->handleApplied(true, 7);
    // Longer than the life of a stream.
    std::this_thread::sleep_for(2'100ms);
    process.store.isDown = true;
    // As long as the other instances are not known, nobody can be asked.
    CHECK_FALSE(process.find("begun-elsewhere-1").version);
    process.versions->updateInstances({ "edge-1", "edge-2", "edge-3" });
    CHECK_FALSE(process.find("begun-elsewhere-2").version);
    CHECK(process.find("begun-elsewhere-2").isStoreAway);
    const auto findWithReplies = [&](const std::string& resumed, std::int64_t revision) {
        const auto before = process.asked.load();
        auto answer = asio::co_spawn(process.threads.context(0), process.versions->find("llm", resumed), asio::use_future);
        REQUIRE(waitUntil([&] { return process.asked > before; }));
        // An answer to an earlier question says nothing of what has begun since.
        process.versions->handleReply(before, "edge-2", 7);
        process.versions->handleReply(process.asked, "edge-3", revision);
        CHECK(answer.wait_for(200ms) == std::future_status::timeout);
        process.versions->handleReply(process.asked, "edge-2", 7);
        return answer.get()->version;
    };
    CHECK(findWithReplies("begun-elsewhere-3", 7) == "v1");
    CHECK_FALSE(findWithReplies("begun-elsewhere-4", 8));
    CHECK_FALSE(findWithReplies("begun-elsewhere-5", 0));
}
