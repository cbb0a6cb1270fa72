#include "../LogSearch.h"
#include "../RestorableLease.h"

#include "EventLog.h"
#include "IoThreads.h"
#include "LeaseManager.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A LeaseManager's store, which the test restores while the manager runs.
struct SharedStore {
    std::mutex lock;
    RestorableLease object;
    std::atomic<int> reads { 0 };

    auto environment(IoThreads& threads, EventLog& log, std::function<TimePoint()> now = bootTimeNow) -> LeaseEnvironment
    {
        return {
            .executor = threads.context(0).get_executor(),
            .read = [this]() -> asio::awaitable<StoreResult<StoredObject>> { ++reads; co_return storedObject(); },
            .update = [this](boost::json::value value, std::int64_t revision) -> asio::awaitable<StoreResult<UpdateOutcome>> { co_return update(value, revision); },
            .now = std::move(now),
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

constexpr TimePoint start { 1'000s };
constexpr Duration leaseTime = 10s;
constexpr Duration retryDelay = 500ms;
/// Time in which the lease is acquired after it has expired.
constexpr Duration acquisitionTime = 2 * retryDelay;

/// An instance that calls the store without delay.
struct Contender {
    Lease lease;

    explicit Contender(std::string holder)
        : lease { .settings = { .name = "roles", .holder = std::move(holder), .leaseTime = leaseTime, .retryDelay = retryDelay } }
    {
    }

    /// Sends the next call, if one is due, and handles its answer.
    auto call(RestorableLease& store, TimePoint now) -> void
    {
        const auto action = nextLeaseCall(lease, now);
        if (!action)
            return;
        const auto* write = std::get_if<WriteLease>(&*action);
        if (write && store.write(*write))
            handleLeaseWritten(lease, now, store.read().revision);
        else
            handleLeaseRead(lease, now, store.read());
    }

    /// Calls the store until the lease is held.
    /// @return when that was; nothing if the time has passed before.
    auto acquire(RestorableLease& store, TimePoint now, Duration time) -> std::optional<TimePoint>
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            call(store, now);
            if (holdsLease(lease, now))
                return now;
        }
        return std::nullopt;
    }
};

template <typename Condition>
auto waitUntil(Condition condition, Duration timeout) -> bool
{
    for (const auto end = monotonicNow() + timeout; monotonicNow() < end; std::this_thread::sleep_for(10ms)) {
        if (condition())
            return true;
    }
    return false;
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

/// A clock that only the test advances, so that no lease expires because the machine is slow.
class ManualClock {
public:
    auto now() const -> TimePoint { return start + Duration(m_elapsed.load()); }
    auto advance(Duration duration) -> void { m_elapsed += duration.count(); }

private:
    std::atomic<Duration::rep> m_elapsed { 0 };
};

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

// Guards against a lease that is given up or delayed because of a restore without any trace in the log.
TEST_CASE("a restore of the lease's store is logged with the history and the fencing number")
{
    EventLog log { "entry-1" };
    IoThreads threads { 1 };
    SharedStore store;
    ManualClock clock;
    const auto manager = std::make_shared<LeaseManager>(store.environment(threads, log, [&] { return clock.now(); }), leaseSettings("roles", "entry-1/1", 1s));
    manager->start();
    // Both calls of the acquisition are due within 100 ms.
    const auto isHeld = waitUntil([&] {
        clock.advance(1ms);
        return manager->fencingNumber().has_value();
    },
        5s);
    const auto number = manager->fencingNumber();
    {
        const std::lock_guard guard(store.lock);
        store.object.restore({});
    }
    // The renewal is due after 400 ms. The store rejects it, and the manager reads the lease 100 ms later. The clock
    // stays behind the end of the lease, which is at 900 ms.
    clock.advance(400ms);
    const auto hasRead = waitUntil([&] {
        clock.advance(1ms);
        return store.reads == 2;
    },
        3s);
    const auto restored = waitForEvent(log, "lease_store_restored", 3s);
    const auto delayed = waitForEvent(log, "lease_delayed", 3s);
    threads.stop();
    CHECK(isHeld);
    REQUIRE(number);
    CHECK(hasRead);
    REQUIRE(restored);
    CHECK(fieldValue(restored->fields, "lease") == "roles");
    CHECK(fieldValue(restored->fields, "previous_history") == "0");
    CHECK(fieldValue(restored->fields, "history") == "1");
    CHECK(fieldValue(restored->fields, "fencing_number") == std::to_string(*number));
    CHECK(fieldValue(restored->fields, "given_up") == "true");
    REQUIRE(delayed);
    CHECK(fieldValue(delayed->fields, "history") == "1");
    CHECK(fieldValue(delayed->fields, "fencing_number") == "0");
    CHECK(fieldValue(delayed->fields, "wait_ms") == "1000");
}

// Guards against a response without a history, or of an earlier one, that ends a wait or passes without a log line.
TEST_CASE("a response of an earlier history is ignored and logged")
{
    EventLog log { "entry-1" };
    IoThreads threads { 1 };
    SharedStore store;
    store.object.history = 2;
    const auto manager = std::make_shared<LeaseManager>(store.environment(threads, log), leaseSettings("roles", "entry-1/1", 1s));
    manager->start();
    const auto delayed = waitForEvent(log, "lease_delayed", 2s);
    {
        const std::lock_guard guard(store.lock);
        store.object.history = 0;
    }
    const auto outdated = waitForEvent(log, "lease_response_outdated", 2s);
    const auto number = waitForLease(*manager, 1s);
    threads.stop();
    REQUIRE(delayed);
    REQUIRE(outdated);
    CHECK(fieldValue(outdated->fields, "history") == "2");
    CHECK(fieldValue(outdated->fields, "response_history") == "0");
    CHECK_FALSE(number);
}

// Guards against a fencing number that a backend server has seen from an earlier holder, or a smaller one, after
// the store has lost the grants with the highest numbers.
TEST_CASE("fencing numbers grow although a restored store has lost the last ones")
{
    RestorableLease store { .history = GENERATE(0, 1, 7) };
    Contender first("entry-1/1");
    const auto firstHeldAt = first.acquire(store, start, 2 * leaseTime);
    REQUIRE(firstHeldAt);
    const auto copy = GENERATE(true, false) ? store.content : RestorableLease::Content {};
    Contender second("entry-2/1");
    const auto secondHeldAt = second.acquire(store, *firstHeldAt, 2 * leaseTime);
    REQUIRE(secondHeldAt);
    REQUIRE(second.lease.fencingNumber > first.lease.fencingNumber);
    store.restore(copy);
    Contender third("entry-3/1");
    REQUIRE(third.acquire(store, *secondHeldAt, 2 * leaseTime));
    CHECK(third.lease.fencingNumber > second.lease.fencingNumber);
    // Backend servers may read JSON numbers as doubles.
    CHECK(third.lease.fencingNumber < std::int64_t { 1 } << 53U);
}

// Guards against the number of a lost grant being given out again when an update that was sent in an earlier
// history replaces the grant, because the store compares only its own revision numbers.
TEST_CASE("a fencing number is not repeated after a delayed update of an earlier history")
{
    // The restored store has granted the lease three times since, which the delayed update can't know.
    RestorableLease store { .history = 1, .content = { 9, 9, LeaseGrant { "entry-1/1", 11, "entry-1/1#6", leaseTime, true } } };
    Contender holder("entry-1/1");
    const auto heldAt = holder.acquire(store, start, 2 * leaseTime);
    REQUIRE(heldAt);
    const LeaseGrant delayed { "entry-2/1", 10, "entry-2/1#3", leaseTime, false };
    REQUIRE(store.write({ makeRevision(0, 10), delayed }));
    Contender next("entry-3/1");
    REQUIRE(next.acquire(store, *heldAt, 3 * leaseTime));
    CHECK(next.lease.fencingNumber > holder.lease.fencingNumber);
}

// Guards against two holders at the same time after a restore that loses the lease object, or leaves an older
// one, while the holder is cut off from the store and acts until its deadline.
TEST_CASE("a lease that a restored store has lost is acquired only after its holder has stopped")
{
    RestorableLease store { .history = GENERATE(0, 1) };
    Contender waiter("entry-2/1");
    waiter.call(store, start);
    const LeaseGrant released { "entry-0/1", 1, "entry-0/1#2", leaseTime, true };
    const auto copy = GENERATE(true, false) ? RestorableLease::Content {} : RestorableLease::Content { 1, 1, released };
    Contender holder("entry-1/1");
    const auto heldAt = holder.acquire(store, start, 2 * leaseTime);
    REQUIRE(heldAt);
    store.restore(copy);
    // The waiter knows the earlier history, or is restarted and knows none.
    auto next = GENERATE(true, false) ? waiter : Contender("entry-2/2");
    const auto nextHeldAt = next.acquire(store, *heldAt, 2 * leaseTime);
    REQUIRE(nextHeldAt);
    CHECK_FALSE(holdsLease(holder.lease, *nextHeldAt));
    CHECK(*nextHeldAt - *heldAt <= leaseTime + acquisitionTime);
}

// Guards against a holder that renews its grant from the copy although another instance may have acquired the
// lease between the copy and the restore.
TEST_CASE("a holder stops at once when it learns of a restore and waits like all others")
{
    RestorableLease store { .history = 1 };
    Contender holder("entry-1/1");
    const auto heldAt = holder.acquire(store, start, 2 * leaseTime);
    REQUIRE(heldAt);
    const auto fencingNumber = holder.lease.fencingNumber;
    store.restore(store.content);
    handleLeaseRead(holder.lease, *heldAt, store.read());
    CHECK_FALSE(holdsLease(holder.lease, *heldAt));
    const auto heldAgainAt = holder.acquire(store, *heldAt, 2 * leaseTime);
    REQUIRE(heldAgainAt);
    CHECK(*heldAgainAt - *heldAt >= leaseTime);
    CHECK(*heldAgainAt - *heldAt <= leaseTime + acquisitionTime);
    CHECK(holder.lease.fencingNumber > fencingNumber);
}

// Guards against a grant that was proposed in one history and is found in the next: another instance may have
// acquired the lease in between, which the store has lost.
TEST_CASE("a proposal that took effect in a later history is not adopted")
{
    RestorableLease store { .history = GENERATE(0, 1) };
    Contender proposer("entry-1/1");
    std::optional<WriteLease> proposal;
    for (auto now = start; !proposal; now += 100ms) {
        const auto action = nextLeaseCall(proposer.lease, now);
        if (action && std::holds_alternative<WriteLease>(*action))
            proposal = std::get<WriteLease>(*action);
        else if (action)
            handleLeaseRead(proposer.lease, now, store.read());
    }
    const auto sentAt = proposer.lease.sentAt;
    store.restore(store.content);
    REQUIRE(store.write(*proposal));
    SECTION("the answer was lost")
    {
        handleLeaseCallFailure(proposer.lease, sentAt);
        handleLeaseRead(proposer.lease, sentAt, store.read());
    }
    SECTION("the answer to a creation names the later history")
    {
        handleLeaseWritten(proposer.lease, sentAt, store.read().revision);
    }
    CHECK_FALSE(holdsLease(proposer.lease, sentAt));
    CHECK(proposer.acquire(store, sentAt, 2 * leaseTime).value_or(sentAt) - sentAt >= leaseTime);
}

// Guards against a lease that no instance acquires for a lease time although nothing is unknown.
TEST_CASE("the first instance of a system, and one that finds a grant of the current history, does not wait needlessly")
{
    RestorableLease store;
    Contender first("entry-1/1");
    const auto heldAt = first.acquire(store, start, acquisitionTime);
    REQUIRE(heldAt);
    store.restore({});
    const auto heldAgainAt = first.acquire(store, *heldAt + leaseTime, 2 * leaseTime);
    REQUIRE(heldAgainAt);
    releaseLease(first.lease, *heldAgainAt);
    first.call(store, *heldAgainAt);
    Contender next("entry-2/1");
    CHECK(next.acquire(store, *heldAgainAt, acquisitionTime));
}

// Guards against a wait that began in an earlier history: the lease may have been acquired and lost since then,
// although no object exists before and after the restore.
TEST_CASE("the wait for an unknown holder starts again with each restore")
{
    RestorableLease store { .history = 1 };
    Contender waiter("entry-1/1");
    waiter.call(store, start);
    const auto restoredAt = start + leaseTime - 1s;
    store.restore({});
    const auto heldAt = waiter.acquire(store, restoredAt, 3 * leaseTime);
    REQUIRE(heldAt);
    CHECK(*heldAt - restoredAt >= leaseTime);
    CHECK(*heldAt - restoredAt <= leaseTime + acquisitionTime);
}

// Guards against a valid grant that counts as no grant because it can't be parsed, and against a fencing number
// that starts again at 1 then.
TEST_CASE("a lease whose stored grant can't be parsed is acquired only after a lease time")
{
    const auto history = GENERATE(0, 1);
    constexpr std::int64_t updates = 5;
    RestorableLease store { .history = history, .content = { updates, updates, std::nullopt } };
    Contender instance("entry-1/1");
    const auto heldAt = instance.acquire(store, start, 3 * leaseTime);
    REQUIRE(heldAt);
    CHECK(*heldAt - start >= leaseTime);
    CHECK(*heldAt - start <= leaseTime + acquisitionTime);
    CHECK(instance.lease.fencingNumber > updates);
}

// Guards against adopting a grant of an earlier manager of this process, whose attempts have the same names, when
// its delayed update takes effect in a restored store.
TEST_CASE("a proposal is adopted only if the stored grant has its fencing number")
{
    RestorableLease store { .history = 1 };
    Contender holder("entry-1/1");
    REQUIRE(holder.acquire(store, start, 2 * leaseTime));
    const auto renewedAt = holder.lease.nextCallAt;
    const auto action = nextLeaseCall(holder.lease, renewedAt);
    const auto* renewal = action ? std::get_if<WriteLease>(&*action) : nullptr;
    REQUIRE(renewal);
    const auto heldUntil = holder.lease.heldUntil;
    const LeaseGrant delayed { "entry-1/1", 1, renewal->grant.attemptId, leaseTime, false };
    REQUIRE(store.write({ makeRevision(0, store.content.number), delayed }));
    handleLeaseCallFailure(holder.lease, renewedAt);
    handleLeaseRead(holder.lease, renewedAt, store.read());
    CHECK(holder.lease.heldUntil == heldUntil);
}
