#include "../ObjectStoreFixture.h"

#include "StoreRevision.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// A store at revision 8 with a saved copy of revision 3.
struct Fixture : test::ObjectStoreFixture {
    Fixture()
    {
        fake.put("servers", "a", "1");
        fake.put("servers", "b", "1");
        fake.saveCopy();
        for (const auto* value : { "2", "3", "4", "5", "6" })
            fake.put("servers", "a", value);
    }
    auto list() -> StoreResult<ItemList> { return ObjectStoreFixture::list("servers"); }
    auto watch(std::int64_t revision, Duration wait = 20ms) -> StoreResult<ItemChanges> { return run(store.watch(client, "servers", revision, wait)); }
    /// Writes until the new history has passed the numbers of the old one.
    auto passOldNumbers() -> void
    {
        for (int count = 0; count < 10; ++count)
            fake.put("servers", "b", "new");
    }
};
}

// Guards against new objects that count as older than those which a restore has removed.
TEST_CASE("revisions after a restore are greater than all before")
{
    Fixture fixture;
    const auto before = fixture.list();
    fixture.fake.restore();
    const auto after = fixture.list();
    REQUIRE(after->items.size() == 2);
    CHECK(after->revision > before->revision);
    CHECK(after->items[0].revision > before->revision);
    CHECK(*fixture.run(fixture.store.put(fixture.client, "servers", "c", "1")) > after->revision);
    const auto read = fixture.run(fixture.store.read(fixture.client, "servers", "a"));
    CHECK(read->revision > before->revision);
    const auto conflict = fixture.run(fixture.store.update(fixture.client, "servers", "a", "x", 0));
    CHECK(std::get<UpdateConflict>(*conflict).current.revision > before->revision);
}

// Guards against changes that are missed because the new history has passed the number of a watch, so that the
// store answers it as usual.
TEST_CASE("a watch of a history that a restore has ended fails although its number exists again")
{
    Fixture fixture;
    const auto revision = fixture.list()->revision;
    fixture.fake.restore();
    CHECK(fixture.watch(revision).error().kind == StoreErrorKind::HistoryGone);
    fixture.passOldNumbers();
    CHECK(fixture.watch(revision).error().kind == StoreErrorKind::HistoryGone);
}

// Guards against a watch that ends as usual in the history that began while it waited.
TEST_CASE("a watch that waits during a restore fails")
{
    Fixture fixture;
    const auto revision = fixture.list()->revision;
    std::thread restorer([&] {
        std::this_thread::sleep_for(50ms);
        fixture.fake.restore();
        fixture.passOldNumbers();
    });
    const auto result = fixture.watch(revision, 300ms);
    restorer.join();
    CHECK(result.error().kind == StoreErrorKind::HistoryGone);
}

// Guards against a watch of the new history that fails, which would make every instance read lists for ever.
TEST_CASE("a watch continues a list of the same history after a restore")
{
    Fixture fixture;
    fixture.fake.restore();
    const auto revision = fixture.list()->revision;
    fixture.fake.put("servers", "b", "new");
    const auto changes = fixture.watch(revision);
    REQUIRE(changes.has_value());
    REQUIRE(changes->changes.size() == 1);
    CHECK(changes->changes[0].item.revision == changes->revision);
    CHECK(changes->revision > revision);
    const auto updated = fixture.run(fixture.store.update(fixture.client, "servers", "b", "newer", changes->revision));
    REQUIRE(updated.has_value());
    CHECK(std::get<UpdateApplied>(*updated).revision > changes->revision);
}

// Guards against an update that counts as successful although its expected number named another state.
TEST_CASE("an update that expects a revision of an ended history has an unknown outcome")
{
    Fixture fixture;
    const auto old = fixture.run(fixture.store.read(fixture.client, "servers", "a"))->revision;
    fixture.fake.restore();
    for (int count = 0; count < 5; ++count)
        fixture.fake.put("servers", "a", "new");
    // The object has the same number as before the restore.
    REQUIRE(numberOf(fixture.run(fixture.store.read(fixture.client, "servers", "a"))->revision) == numberOf(old));
    const auto outcome = fixture.run(fixture.store.update(fixture.client, "servers", "a", "x", old));
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().kind == StoreErrorKind::OutcomeUnknown);
}

// Guards against a list that mixes the states before and after a restore.
TEST_CASE("a list fails if the store is restored between two of its pages")
{
    Fixture fixture;
    fixture.fake.put("servers", "c", "1");
    fixture.fake.restoreAtCall(fixture.fake.calls() + 2);
    const auto mixed = fixture.list();
    REQUIRE(mixed.has_error());
    CHECK(mixed.error().kind == StoreErrorKind::HistoryGone);
    CHECK(fixture.list()->items.size() == 2);
}

// Guards against a holder of a lease that can't tell whether a missing object was never written or is lost.
TEST_CASE("the history is known for objects that do not exist")
{
    Fixture fixture;
    fixture.fake.restore();
    CHECK(fixture.run(fixture.store.read(fixture.client, "leases", "none"))->history == fixture.fake.history());
    CHECK(fixture.run(fixture.store.read(fixture.client, "servers", "a"))->history == fixture.fake.history());
    const auto missing = fixture.run(fixture.store.update(fixture.client, "leases", "none", "x", makeRevision(fixture.fake.history(), 1)));
    CHECK(std::get<UpdateConflict>(*missing).current.history == fixture.fake.history());
}
