#include "../DirectoryEntries.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

// Guards against new work for a server that left, after its entry vanished during one restore and came back with the
// copy of another one.
TEST_CASE("a server that leaves is gone for good when its entry is missing after a restore")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    auto leaving = server("leaves", "900");
    leaving.state = ReplicaState::Leaving;
    upsert(directory, leaving);
    beginHistory(directory, start + 1s, 2);
    remove(directory, start + 2s, "leaves");
    expire(directory, start + 4s);
    beginHistory(directory, start + 5s, 3);
    CHECK_FALSE(upsert(directory, server("leaves", "900")));
    CHECK(stateOf(directory, "leaves") == ReplicaState::Leaving);
}

// Guards against a live server that gets no work for minutes, because it lapsed before a restore and wrote its entry
// again after it.
TEST_CASE("a server that lapsed comes back with an entry that it writes after a restore")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("lapsed", "900"), server("leaves", "900"), server("left", "900") });
    upsert(directory, server("leaves", "900", ReplicaState::Leaving));
    upsert(directory, server("left", "900", ReplicaState::Leaving));
    remove(directory, start + 1s, "left");
    remove(directory, start + 1s, "lapsed");
    beginHistory(directory, start + 2s, 2);
    const auto outdated = replaceAll(directory, start + 2s, { server("lapsed", "900"), server("leaves", "900"), server("left", "900") });
    CHECK(outdated == std::vector<std::string> { "lapsed", "leaves", "left" });
    CHECK(upsert(directory, server("lapsed", "900"), EntrySource::Change));
    CHECK(stateOf(directory, "lapsed") == ReplicaState::Live);
    // These have reported that they leave, so only a later process can be live.
    CHECK_FALSE(upsert(directory, server("leaves", "900"), EntrySource::Change));
    CHECK_FALSE(upsert(directory, server("left", "900"), EntrySource::Change));
}

// Guards against a live server that gets no work for minutes, because it lapsed before a restore and the copy has its
// entry, so that writing it again is no change.
TEST_CASE("a server that lapsed comes back if its entry of an older copy does not lapse")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("lives", "900"), server("gone", "900"), server("left", "900") });
    remove(directory, start + 1s, "lives");
    remove(directory, start + 1s, "gone");
    upsert(directory, server("left", "900", ReplicaState::Leaving));
    remove(directory, start + 1s, "left");
    beginHistory(directory, start + 2s, 2);
    replaceAll(directory, start + 2s, { server("lives", "900"), server("gone", "900"), server("left", "900") });
    expire(directory, start + 2s);
    // The store removes the entry of the server that no longer writes it.
    remove(directory, start + 6s, "gone");
    expire(directory, start + 21s);
    CHECK_FALSE(hasUnlapsedEntry(directory));
    CHECK_FALSE(upsert(directory, server("lives", "900")));
    expire(directory, start + 22s);
    CHECK(hasUnlapsedEntry(directory));
    CHECK(replaceAll(directory, start + 22s, { server("lives", "900"), server("left", "900") }) == std::vector<std::string> { "left" });
    CHECK(stateOf(directory, "lives") == ReplicaState::Live);
    CHECK_FALSE(stateOf(directory, "left") == ReplicaState::Live);
    expire(directory, start + 22s);
    CHECK_FALSE(hasUnlapsedEntry(directory));
}

// Guards against new work for a server that left, because its entry of an older copy stays while the store is away and
// removes none.
TEST_CASE("time in which the store is away does not show that a listed server lives")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("gone", "900") });
    remove(directory, start + 1s, "gone");
    beginHistory(directory, start + 2s, 2);
    replaceAll(directory, start + 2s, { server("gone", "900") });
    expire(directory, start + 2s);
    storeFailed(directory, start + 3s);
    expire(directory, start + 21s);
    storeAnswered(directory, start + 22s);
    expire(directory, start + 23s);
    CHECK_FALSE(hasUnlapsedEntry(directory));
    CHECK(replaceAll(directory, start + 23s, { server("gone", "900") }) == std::vector<std::string> { "gone" });
    expire(directory, start + 41s);
    CHECK(hasUnlapsedEntry(directory));
}

// Guards against an entry that counts as written by a live server because two copies in a row list it.
TEST_CASE("the time for which an entry is listed begins again with each restore")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("gone", "900") });
    remove(directory, start + 1s, "gone");
    beginHistory(directory, start + 2s, 2);
    replaceAll(directory, start + 2s, { server("gone", "900") });
    expire(directory, start + 2s);
    expire(directory, start + 22s);
    beginHistory(directory, start + 22s, 3);
    CHECK_FALSE(upsert(directory, server("gone", "900")));
    expire(directory, start + 23s);
    CHECK_FALSE(hasUnlapsedEntry(directory));
}

// Guards against an instance that reads the list every other second, because an entry that was replaced still counts as
// listed.
TEST_CASE("an entry that another one replaces no longer counts as listed")
{
    BackendDirectory directory;
    beginHistory(directory, start, 1);
    replaceAll(directory, start, { server("gone", "900") });
    remove(directory, start + 1s, "gone");
    beginHistory(directory, start + 2s, 2);
    replaceAll(directory, start + 2s, { server("gone", "900") });
    expire(directory, start + 2s);
    replaceAll(directory, start + 3s, { server("gone", "899") });
    expire(directory, start + 30s);
    CHECK_FALSE(hasUnlapsedEntry(directory));
}
