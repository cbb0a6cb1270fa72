#include "../ObjectStoreFixture.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

using Fixture = test::ObjectStoreFixture;
}

// Guards against two holders of a lease after a malformed response that is mistaken for a missing
// object or for a successful update.
TEST_CASE("a response without an object is an error")
{
    Fixture fixture;
    fixture.fake.setMalformed(true);
    CHECK(fixture.run(fixture.store.read(fixture.client, "leases", "a")).error().kind == StoreErrorKind::MalformedAnswer);
    CHECK(fixture.run(fixture.store.update(fixture.client, "leases", "a", "x", 0)).error().kind == StoreErrorKind::MalformedAnswer);
    CHECK(fixture.run(fixture.store.put(fixture.client, "leases", "a", "x")).error().kind == StoreErrorKind::MalformedAnswer);
}

// Guards against a page that is requested again forever.
TEST_CASE("a page without a readable item ends the list call")
{
    Fixture fixture;
    fixture.fake.setMalformed(true);
    CHECK(fixture.run(fixture.store.list(fixture.client, "servers", ReadMode::Current)).error().kind == StoreErrorKind::MalformedAnswer);
    CHECK(fixture.fake.calls() == 1);
}

// Guards against an update that overwrites an earlier one.
TEST_CASE("an update takes effect only on the expected revision")
{
    Fixture fixture;
    CHECK(fixture.run(fixture.store.read(fixture.client, "leases", "a"))->revision == 0);
    const auto created = fixture.run(fixture.store.update(fixture.client, "leases", "a", "first", 0));
    const auto revision = std::get<UpdateApplied>(*created).revision;
    CHECK(revision > 0);
    const auto again = fixture.run(fixture.store.update(fixture.client, "leases", "a", "second", 0));
    CHECK(std::get<UpdateConflict>(*again).current.revision == revision);
    CHECK(std::holds_alternative<UpdateApplied>(*fixture.run(fixture.store.update(fixture.client, "leases", "a", "third", revision))));
    const auto stale = fixture.run(fixture.store.update(fixture.client, "leases", "a", "fourth", revision));
    CHECK(std::get<UpdateConflict>(*stale).current.value == "third");
}
