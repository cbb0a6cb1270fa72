#include "../RestorableZone.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Watches wait for several seconds, so that they don't bring an instance up to date themselves.
constexpr auto longPropagationDelay = 20s;

/// Numbers that the store of a test doesn't reach.
constexpr std::int64_t wrongNumber = 1'000'000'000;
constexpr std::int64_t wrongHistory = 9;

/// One instance that has read version 1.
struct ReportedZone {
    explicit ReportedZone(Duration maxPropagationDelay = longPropagationDelay)
        : zone(1, maxPropagationDelay)
    {
        zone.store.put("config", "main", 1);
        zone.store.saveCopy();
        report("config", zone.store.snapshot("config").revision);
        isPrepared = zone.reachesVersion(1, 3s);
    }

    auto report(const std::string& kind, std::int64_t revision) -> void
    {
        zone.last().post([kind, revision](StoreDirectory& directory) { directory.handlePeerRevision(kind, revision); });
    }

    /// Delivers an update that claims that the configuration has not changed up to a number.
    auto claimUnchanged(std::int64_t number) -> void
    {
        zone.last().post([number](StoreDirectory& directory) { directory.handleDirectoryUpdate({ "edge-2", false, KindChanges { "config", makeRevision(1, 1), makeRevision(1, number), {} } }); });
    }
    /// Delivers the messages that watchers send while nothing changes.
    auto sendHeartbeats(std::int64_t history) -> void
    {
        for (const auto* watcher : { "edge-0a", "edge-0b", "edge-0c" })
            zone.last().post([watcher, history](StoreDirectory& directory) { directory.handleDirectoryUpdate({ watcher, true, std::nullopt, history }); });
    }
    /// Writes a version and delivers the update of a watcher.
    auto change(std::int64_t version) -> void
    {
        const auto before = zone.store.snapshot("config").revision;
        const auto revision = zone.store.put("config", "main", version);
        zone.last().post([before, revision, version](StoreDirectory& directory) {
            const ItemChange change { { "main", revision, version } };
            directory.handleDirectoryUpdate({ "edge-2", false, KindChanges { "config", before, revision, { change } } });
        });
    }

    RestorableZone zone;
    bool isPrepared = false;
};

}

// Guards against an instance that reads its lists for each message of a peer that reports revisions or histories which
// the store does not have.
TEST_CASE("a wrong report costs one list a second however often it is repeated")
{
    ReportedZone fixture;
    REQUIRE(fixture.isPrepared);
    const auto before = fixture.zone.last().store.lists.load();
    for (int message = 0; message < 100; ++message) {
        fixture.report("servers", makeRevision(1, wrongNumber + message));
        fixture.report("config", makeRevision(wrongHistory + message, 0));
        std::this_thread::sleep_for(20ms);
    }
    // Three kinds for at least 2 s.
    CHECK(fixture.zone.last().store.lists - before <= 9);
}

// Guards against a change that is missed because an earlier report was wrong.
TEST_CASE("a right report counts at once after a wrong one")
{
    ReportedZone fixture;
    REQUIRE(fixture.isPrepared);
    fixture.report("config", makeRevision(1, wrongNumber));
    fixture.report("config", makeRevision(wrongHistory, 0));
    std::this_thread::sleep_for(500ms);
    fixture.report("config", fixture.zone.store.put("config", "main", 2));
    CHECK(fixture.zone.reachesVersion(2, 500ms));
}

// Guards against a restore that the peers don't learn of because one of them has reported a history that does not exist.
TEST_CASE("a wrong report of a history does not suppress the report of a restore")
{
    ReportedZone fixture(2s);
    REQUIRE(fixture.isPrepared);
    fixture.report("config", makeRevision(wrongHistory, 0));
    std::this_thread::sleep_for(100ms);
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 3);
    REQUIRE(fixture.zone.reachesVersion(3, 2s));
    CHECK(fixture.zone.publishedHistory == 2);
}

// Guards against an instance that skips all later changes because an update names a revision far above the store's.
TEST_CASE("an update with a revision that the store can't have reached suppresses no change")
{
    ReportedZone fixture;
    REQUIRE(fixture.isPrepared);
    fixture.claimUnchanged(wrongNumber);
    std::this_thread::sleep_for(100ms);
    fixture.change(2);
    CHECK(fixture.zone.reachesVersion(2, 1s));
}

// Guards against an instance that relies on an update for ever which the store's own answers contradict.
TEST_CASE("the answer to the write of an instance's record refutes the revision of an update")
{
    ReportedZone fixture;
    REQUIRE(fixture.isPrepared);
    fixture.claimUnchanged(numberOf(fixture.zone.store.snapshot("config").revision) + 1000);
    std::this_thread::sleep_for(100ms);
    fixture.change(2);
    // The record is written at the latest 30 s after the last time.
    REQUIRE(fixture.zone.reaches([](const auto& any) { return any.refutedKind() == "config"; }, 31s));
    // The own watch from the wrong revision may wait for longer.
    CHECK(fixture.zone.reachesVersion(2, 500ms));
}

// Guards against an instance that keeps an old configuration because it relies on watchers that have not learned of a
// restore, or that run an earlier version, which knows no histories.
TEST_CASE("an instance does not rely on watchers of an ended history")
{
    ReportedZone fixture(2s);
    REQUIRE(fixture.isPrepared);
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 2);
    REQUIRE(fixture.zone.reachesVersion(2, 2s));
    for (int message = 0; message < 20; ++message) {
        fixture.sendHeartbeats(message % 2);
        std::this_thread::sleep_for(100ms);
    }
    fixture.zone.store.put("config", "main", 3);
    for (int message = 0; message < 20 && !fixture.zone.reachesVersion(3, 100ms); ++message)
        fixture.sendHeartbeats(message % 2);
    CHECK(fixture.zone.reachesVersion(3, 0s));
}

// Guards against an instance that learns of a restore late because the one update that reported it was lost.
TEST_CASE("the next message of a watcher reports a restore")
{
    ReportedZone fixture;
    REQUIRE(fixture.isPrepared);
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 2);
    fixture.sendHeartbeats(2);
    CHECK(fixture.zone.reachesVersion(2, 500ms));
}
