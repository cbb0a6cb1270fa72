#include "BlockedPartsWriter.h"
#include "Pause.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// A store of objects by name that can be unavailable and lose replies.
class NamedObjectStore final : public ObjectStore {
public:
    auto list(HttpClient&, std::string, ReadMode) -> asio::awaitable<StoreResult<ItemList>> override { co_return ItemList {}; }
    auto watch(HttpClient&, std::string, std::int64_t, Duration) -> asio::awaitable<StoreResult<ItemChanges>> override { co_return ItemChanges {}; }
    auto read(HttpClient&, std::string, std::string name) -> asio::awaitable<StoreResult<StoredObject>> override
    {
        co_await pause(1ms);
        if (isDown)
            co_return StoreError { StoreErrorKind::Unavailable, "down" };
        co_return object(name);
    }
    auto update(HttpClient&, std::string, std::string name, json::value value, std::int64_t expectedRevision) -> asio::awaitable<StoreResult<UpdateOutcome>> override
    {
        co_await pause(1ms);
        if (isDown)
            co_return StoreError { StoreErrorKind::Unavailable, "down" };
        const std::lock_guard guard(m_lock);
        auto& object = m_objects[name];
        if (object.revision != expectedRevision)
            co_return UpdateOutcome(UpdateConflict { object });
        object = { expectedRevision + 1, std::move(value) };
        if (losesReplies)
            co_return StoreError { StoreErrorKind::OutcomeUnknown, "lost" };
        co_return UpdateOutcome(UpdateApplied { object.revision });
    }
    auto put(HttpClient&, std::string, std::string, json::value) -> asio::awaitable<StoreResult<std::int64_t>> override { co_return std::int64_t { 1 }; }
    auto counts() const -> StoreCallCounts override { return {}; }

    auto object(const std::string& name) const -> StoredObject
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_objects.find(name);
        return found == m_objects.end() ? StoredObject {} : found->second;
    }
    auto parts(const std::string& name = "service") const -> std::vector<ListedPart> { return blockedPartsFromJson(object(name).value).parts; }

    std::atomic<bool> isDown { false };
    std::atomic<bool> losesReplies { false };

private:
    mutable std::mutex m_lock;
    std::map<std::string, StoredObject> m_objects;
};

/// Instances that write to one store.
struct Writers {
    explicit Writers(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            BlockedPartsCallbacks callbacks { [this](std::int64_t) { ++written; }, [this](const std::string&, std::uint64_t) { ++trials; } };
            writers.push_back(std::make_shared<BlockedPartsWriter>(threads, store, "parts", log, std::move(callbacks)));
        }
    }
    ~Writers() { threads.stop(); }
    Writers(const Writers&) = delete;
    auto operator=(const Writers&) -> Writers& = delete;

    auto update(const UpdateBlockedPart& change) -> void
    {
        for (const auto& writer : writers)
            writer->update("service", change);
    }

    NamedObjectStore store;
    EventLog log { "edge-1", 16 };
    IoThreads threads { 1 };
    std::atomic<int> written { 0 };
    std::atomic<int> trials { 0 };
    std::vector<std::shared_ptr<BlockedPartsWriter>> writers;
};

/// Longer than the random delay of the first attempt and some retries.
constexpr auto settleTime = 700ms;

}

// Guards against lists that lose an entry in their JSON form or are spoilt by an entry of another writer.
TEST_CASE("lists of blocked parts survive their conversion to JSON")
{
    const std::vector<ListedPart> parts { { 0xffffffffffffffff, 2, true }, { 7, 0 } };
    CHECK(blockedPartsFromJson(blockedPartsToJson(parts)).parts == parts);
    CHECK(blockedPartsFromJson(blockedPartsToJson(parts)).unreadable == 0);
    const auto damaged = blockedPartsFromJson(json::parse(R"({"parts":[5,{"part":"x","trials":0},{"part":"9","trials":-1},{"part":"a8","trials":1}]})"));
    CHECK(damaged.parts == std::vector<ListedPart> { { 0xa8, 1 } });
    CHECK(damaged.unreadable == 3);
    const auto text = blockedPartsFromJson(json::parse(R"("text")"));
    CHECK(text.parts.empty());
    CHECK(text.unreadable == 1);
    CHECK(blockedPartsFromJson({}).parts.empty());
    CHECK(blockedPartsFromJson({}).unreadable == 0);
}

// Guards against writers that overwrite each other's entries, and against a write for each instance.
TEST_CASE("several writers add, keep and remove entries")
{
    Writers writers(5);
    writers.update({ 7, BlockedPartChange::Add });
    writers.update({ 8, BlockedPartChange::Add });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.store.parts().size() == 2);
    CHECK(writers.written == 2);
    writers.update({ 7, BlockedPartChange::Remove });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.store.parts() == std::vector<ListedPart> { { 8 } });
}

// Guards against a block that is lost, or written late, because the store was unavailable when it was found.
TEST_CASE("changes are written soon after the store is available again")
{
    constexpr int changes = 400;
    Writers writers(1);
    writers.store.isDown = true;
    for (int change = 0; change < changes; ++change)
        writers.writers.front()->update("service-" + std::to_string(change), { 7, BlockedPartChange::Add });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.written == 0);
    writers.store.isDown = false;
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.written == changes);
    CHECK(writers.store.parts("service-0") == std::vector<ListedPart> { { 7 } });
}

// Guards against a doubt about a part that is lost because an instance without it has written the part first.
TEST_CASE("a part that an instance doubts is listed as doubtful")
{
    Writers writers(2);
    writers.writers.front()->update("service", { 7, BlockedPartChange::Add });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.store.parts() == std::vector<ListedPart> { { 7 } });
    writers.writers.back()->update("service", { .part = 7, .change = BlockedPartChange::Add, .isDoubtful = true });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.store.parts() == std::vector<ListedPart> { { 7, 0, true } });
    writers.writers.front()->update("service", { 7, BlockedPartChange::Add });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.store.parts() == std::vector<ListedPart> { { 7, 0, true } });
    CHECK(writers.written == 2);
}

// Guards against several instances that try a blocked part, which each can cost an engine.
TEST_CASE("one instance gets the permission for a trial")
{
    Writers writers(5);
    writers.update({ 7, BlockedPartChange::Add });
    std::this_thread::sleep_for(settleTime);
    writers.update({ 7, BlockedPartChange::BeginTrial, 0 });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.trials == 1);
    CHECK(writers.store.parts() == std::vector<ListedPart> { { 7, 1 } });
    // A trial that may have been counted is not made.
    writers.store.losesReplies = true;
    writers.update({ 7, BlockedPartChange::BeginTrial, 1 });
    std::this_thread::sleep_for(settleTime);
    CHECK(writers.trials == 1);
    CHECK(writers.store.parts() == std::vector<ListedPart> { { 7, 2 } });
}
