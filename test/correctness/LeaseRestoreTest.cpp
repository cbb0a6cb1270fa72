#include "../RestorableLease.h"

#include "EventLog.h"
#include "IoThreads.h"
#include "LeaseManager.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A LeaseManager's store, which the test restores while the manager runs.
struct SharedStore {
    std::mutex lock;
    RestorableLease object;

    auto environment(IoThreads& threads, EventLog& log) -> LeaseEnvironment
    {
        return {
            .executor = threads.context(0).get_executor(),
            .read = [this]() -> asio::awaitable<StoreResult<StoredObject>> { co_return storedObject(); },
            .update = [this](boost::json::value value, std::int64_t revision) -> asio::awaitable<StoreResult<UpdateOutcome>> { co_return update(value, revision); },
            .now = bootTimeNow,
            .isStopped = [] { return false; },
            .log = log,
        };
    }

    auto storedObject() -> StoredObject
    {
        const std::lock_guard guard(lock);
        const auto stored = object.read();
        return { stored.revision, stored.grant ? toJson(*stored.grant) : boost::json::value(), stored.history };
    }

    auto update(const boost::json::value& value, std::int64_t revision) -> StoreResult<UpdateOutcome>
    {
        {
            const std::lock_guard guard(lock);
            if (historyOf(revision) != object.history && revision != 0)
                return StoreError { StoreErrorKind::OutcomeUnknown, "the store was restored" };
            if (object.write({ revision, *leaseGrantFromJson(value) }))
                return UpdateOutcome(UpdateApplied { object.read().revision });
        }
        return UpdateOutcome(UpdateConflict { storedObject() });
    }
};

auto field(const LoggedEvent& event, std::string_view name) -> std::string
{
    const auto found = std::ranges::find(event.fields, name, &LogField::key);
    return found == event.fields.end() ? std::string() : found->value;
}

/// Waits until an event is in the log.
auto waitForEvent(const EventLog& log, std::string_view name, Duration timeout) -> std::optional<LoggedEvent>
{
    for (const auto end = monotonicNow() + timeout; monotonicNow() < end; std::this_thread::sleep_for(10ms)) {
        const auto events = log.after(0, EventLog::defaultCapacity);
        const auto found = std::ranges::find(events, name, &LoggedEvent::event);
        if (found != events.end())
            return *found;
    }
    return std::nullopt;
}

/// Waits until a LeaseManager holds its lease.
auto waitForLease(const LeaseManager& manager, Duration timeout) -> std::optional<std::int64_t>
{
    for (const auto end = monotonicNow() + timeout; monotonicNow() < end; std::this_thread::sleep_for(10ms)) {
        if (const auto number = manager.fencingNumber())
            return number;
    }
    return std::nullopt;
}

}

// Guards against a lease whose store was restored without any trace in the log.
TEST_CASE("a restore of the lease's store is logged with the history and the fencing number")
{
    EventLog log { "entry-1" };
    IoThreads threads { 1 };
    SharedStore store;
    const auto manager = std::make_shared<LeaseManager>(store.environment(threads, log), leaseSettings("roles", "entry-1/1", 1s));
    manager->start();
    const auto number = waitForLease(*manager, 2s);
    {
        const std::lock_guard guard(store.lock);
        store.object.restore({});
    }
    const auto restored = waitForEvent(log, "lease_store_restored", 3s);
    threads.stop();
    REQUIRE(number);
    REQUIRE(restored);
    CHECK(field(*restored, "lease") == "roles");
    CHECK(field(*restored, "previous_history") == "0");
    CHECK(field(*restored, "history") == "1");
    CHECK(field(*restored, "fencing_number") == std::to_string(*number));
}
