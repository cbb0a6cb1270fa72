#include "../RestorableZone.h"

#include <catch2/catch.hpp>

#include <future>

using namespace jayhold;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

/// Longer than the time that a watcher of the zone needs to announce itself, and than a watch in progress.
constexpr auto settlingTime = 2s;

/// Time within which a change has to take effect at every instance.
constexpr auto propagationBound = 2s;

auto server(std::string_view incarnation, bool isLeaving = false) -> json::value
{
    json::object fields { { "born", incarnation } };
    if (isLeaving)
        fields["leaving"] = true;
    return fields;
}

/// A zone with configuration version 2, of which the store's copy has version 1.
struct RestoredZone {
    explicit RestoredZone(std::size_t count, Duration maxPropagationDelay = propagationBound)
        : zone(count, maxPropagationDelay)
    {
        zone.store.put("config", "main", 1);
        zone.store.saveCopy();
        for (int change = 0; change < 5; ++change)
            zone.store.put("servers", "old", server("1"));
        zone.store.put("config", "main", 2);
        std::this_thread::sleep_for(settlingTime);
    }

    /// Writes until the new history has passed the numbers of the old one.
    auto passOldNumbers() -> void
    {
        for (int change = 0; change < 20; ++change)
            zone.store.put("other", "any", 1);
    }

    RestorableZone zone;
};

}

// Guards against a restore of the store that operators can't see, and revisions that they can't compare.
TEST_CASE("a restore of the store is logged and counted")
{
    RestorableZone zone(1);
    zone.store.put("config", "main", 1);
    zone.store.saveCopy();
    zone.store.put("config", "main", 2);
    REQUIRE(zone.reachesVersion(2, propagationBound));
    auto& instance = zone.last();
    CHECK_FALSE(instance.hasLogged("store_restored"));
    zone.store.restore();
    zone.store.put("config", "main", 3);
    REQUIRE(zone.reachesVersion(3, propagationBound));
    CHECK(instance.hasLogged("store_restored"));
    std::promise<std::int64_t> history;
    instance.post([&](StoreDirectory& directory) { history.set_value(directory.summary().storeHistory); });
    CHECK(history.get_future().get() == zone.store.history());
}

// Guards against instances that keep an old configuration because they rely on their zone's watchers and compare
// revisions of two histories.
TEST_CASE("instances that rely on watchers apply a change right after a restore")
{
    RestoredZone fixture(5);
    REQUIRE(fixture.zone.reachesVersion(2, 0s));
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 3);
    CHECK(fixture.zone.reachesVersion(3, propagationBound));
}

// Guards against an instance whose watch goes on in a history that has passed its revision.
TEST_CASE("an instance that watches the store itself applies a change that its watch has passed")
{
    RestoredZone fixture(1);
    REQUIRE(fixture.zone.reachesVersion(2, 0s));
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 3);
    fixture.passOldNumbers();
    CHECK(fixture.zone.reachesVersion(3, propagationBound));
}

// Guards against an instance that goes back to the state before a restore because a list was on its way for long.
TEST_CASE("a list of an ended history that arrives late is dropped")
{
    RestoredZone fixture(1);
    auto& instance = fixture.zone.last();
    // The peer's report starts a list that shows the old history, and a restore follows while it is on its way.
    fixture.zone.store.put("servers", "late", server("1"));
    instance.store.listDelay = 1500ms;
    instance.post([](StoreDirectory& directory) { directory.handlePeerRevision("servers", makeRevision(1, 1'000'000)); });
    std::this_thread::sleep_for(300ms);
    instance.store.listDelay = 1ms;
    fixture.zone.store.restore();
    fixture.zone.store.put("servers", "new", server("1"));
    REQUIRE(fixture.zone.reaches([](const auto& any) { return any.isLive("new"); }, propagationBound));
    std::this_thread::sleep_for(1500ms);
    CHECK(instance.isLive("new"));
}

// Guards against changes and reports of an ended history that are applied or cost a list each.
TEST_CASE("datagrams and peer reports of an ended history are dropped")
{
    RestoredZone fixture(1);
    auto& instance = fixture.zone.last();
    const auto before = fixture.zone.store.snapshot("servers").revision;
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 3);
    REQUIRE(fixture.zone.reachesVersion(3, propagationBound));
    // The watch of blocked parts notices the restore last, and reads its list.
    std::this_thread::sleep_for(2 * settlingTime);
    const auto lists = instance.store.lists.load();
    for (int message = 1; message <= 20; ++message) {
        instance.post([before, message](StoreDirectory& directory) {
            directory.handlePeerRevision("servers", before + message);
            const ItemChange change { { "ghost", before + message, server("1") } };
            directory.handleDirectoryUpdate({ "edge-2", false, KindChanges { "servers", before, before + message, { change } } });
        });
        std::this_thread::sleep_for(20ms);
    }
    std::this_thread::sleep_for(500ms);
    CHECK_FALSE(instance.isLive("ghost"));
    CHECK(instance.store.lists == lists);
}

// Guards against an instance that takes changes as complete although a history ended between them.
TEST_CASE("changes that span two histories are not applied")
{
    RestoredZone fixture(1);
    auto& instance = fixture.zone.last();
    const auto before = fixture.zone.store.snapshot("servers").revision;
    constexpr auto later = makeRevision(2, 9);
    instance.post([before](StoreDirectory& directory) {
        const ItemChange change { { "ghost", later, server("1") } };
        directory.handleDirectoryUpdate({ "edge-2", false, KindChanges { "servers", before, later, { change } } });
    });
    std::this_thread::sleep_for(100ms);
    CHECK_FALSE(instance.isLive("ghost"));
}

// Guards against kinds that stay behind because only one of them has shown the restore.
TEST_CASE("a new history that a peer reports for one kind brings all kinds up to date")
{
    // Watches wait for several seconds, so that they don't notice the restore themselves.
    RestoredZone fixture(1, 20s);
    auto& instance = fixture.zone.last();
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 3);
    const auto reported = fixture.zone.store.snapshot("blocked").revision;
    instance.post([reported](StoreDirectory& directory) { directory.handlePeerRevision("blocked", reported); });
    CHECK(fixture.zone.reachesVersion(3, 500ms));
}

// Guards against the single report of a restore that is dropped because a read for an earlier report is scheduled.
TEST_CASE("a report of a new history counts while a read is scheduled for an earlier one")
{
    RestoredZone fixture(1, 20s);
    auto& instance = fixture.zone.last();
    const auto before = fixture.zone.store.snapshot("config").revision;
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 3);
    instance.post([before](StoreDirectory& directory) {
        directory.handlePeerRevision("config", before + 1);
        directory.handlePeerRevision("config", makeRevision(2, 0));
        // The changes of the earlier report arrive after all.
        directory.handleDirectoryUpdate({ "edge-2", false, KindChanges { "config", before, before + 1, {} } });
    });
    CHECK(fixture.zone.reachesVersion(3, 1s));
}

// Guards against an instance that learns of a restore from another answer of the store and waits for its watches.
TEST_CASE("the count of instances brings all kinds up to date after a restore")
{
    RestorableZone zone(1, 20s);
    zone.store.put("config", "main", 1);
    zone.store.saveCopy();
    zone.store.put("config", "main", 2);
    REQUIRE(zone.reachesVersion(2, propagationBound));
    zone.store.restore();
    zone.store.put("config", "main", 3);
    // While their number changes, instances are counted again within 3 s. Watches wait for at least 4 s.
    CHECK(zone.reachesVersion(3, 3600ms));
}

// Guards against lists that many instances read more often than needed after a restore.
TEST_CASE("instances report a new history to the zone at once")
{
    RestoredZone fixture(20);
    REQUIRE(fixture.zone.reachesVersion(2, 0s));
    std::vector<int> listsBefore;
    for (const auto& instance : fixture.zone.instances)
        listsBefore.push_back(instance->store.lists);
    fixture.zone.store.restore();
    fixture.zone.store.put("config", "main", 3);
    CHECK(fixture.zone.reachesVersion(3, propagationBound));
    std::this_thread::sleep_for(settlingTime);
    for (std::size_t index = 0; index < fixture.zone.instances.size(); ++index) {
        // Three kinds, and a second time for kinds whose watch was waiting.
        CHECK(fixture.zone.instances[index]->store.lists - listsBefore[index] <= 6);
    }
}

// Guards against instances that stay behind because the store was away while they had to read it again.
TEST_CASE("a change after a restore takes effect although the store was away for a moment")
{
    RestoredZone fixture(5);
    for (const auto& instance : fixture.zone.instances)
        instance->store.isDown = true;
    std::this_thread::sleep_for(200ms);
    fixture.zone.store.restore();
    for (const auto& instance : fixture.zone.instances)
        instance->store.isDown = false;
    fixture.zone.store.put("config", "main", 3);
    CHECK(fixture.zone.reachesVersion(3, propagationBound));
}

// Guards against new work for a server that left shortly before a restore, whose copy lists it as live.
TEST_CASE("a server that left before a restore gets no work again")
{
    RestorableZone zone(5);
    zone.store.put("servers", "leaves", server("900"));
    zone.store.put("servers", "removed", server("900"));
    zone.store.put("servers", "stays", server("900"));
    zone.store.saveCopy();
    std::this_thread::sleep_for(settlingTime);
    zone.store.put("servers", "leaves", server("900", true));
    zone.store.remove("servers", "removed");
    REQUIRE(zone.reaches([](const auto& any) { return !any.isLive("leaves") && !any.isLive("removed"); }, propagationBound));
    zone.store.restore();
    zone.store.put("servers", "new", server("900"));
    CHECK(zone.reaches([](const auto& any) { return any.isLive("new"); }, propagationBound));
    CHECK(zone.reaches([](const auto& any) { return any.isLive("stays") && !any.isLive("leaves") && !any.isLive("removed"); }, 0s));
    zone.store.put("servers", "removed", server("1000"));
    CHECK(zone.reaches([](const auto& any) { return any.isLive("removed"); }, propagationBound));
}

// Guards against a live server that gets no work for minutes, because its entry lapsed shortly before a restore.
TEST_CASE("a server that lapsed before a restore gets work again when it writes its entry")
{
    RestorableZone zone(5);
    zone.store.put("servers", "lapsed", server("900"));
    zone.store.saveCopy();
    std::this_thread::sleep_for(settlingTime);
    zone.store.remove("servers", "lapsed");
    REQUIRE(zone.reaches([](const auto& any) { return !any.isLive("lapsed"); }, propagationBound));
    zone.store.restore();
    zone.store.put("servers", "new", server("900"));
    REQUIRE(zone.reaches([](const auto& any) { return any.isLive("new"); }, propagationBound));
    CHECK(zone.reaches([](const auto& any) { return !any.isLive("lapsed"); }, 0s));
    zone.store.put("servers", "lapsed", server("900"));
    CHECK(zone.reaches([](const auto& any) { return any.isLive("lapsed"); }, propagationBound));
}

// Guards against a live server that gets no work for minutes, because writing its entry again changes nothing in the copy.
TEST_CASE("a server that lapsed before a restore gets work again if its restored entry does not lapse")
{
    RestorableZone zone(1, propagationBound, 3s);
    zone.store.put("servers", "lives", server("900"));
    zone.store.put("servers", "gone", server("900"));
    zone.store.saveCopy();
    std::this_thread::sleep_for(settlingTime);
    zone.store.remove("servers", "lives");
    zone.store.remove("servers", "gone");
    REQUIRE(zone.reaches([](const auto& any) { return !any.isLive("lives") && !any.isLive("gone"); }, propagationBound));
    zone.store.restore();
    std::this_thread::sleep_for(propagationBound);
    CHECK(zone.reaches([](const auto& any) { return !any.isLive("lives") && !any.isLive("gone"); }, 0s));
    zone.store.remove("servers", "gone");
    CHECK(zone.reaches([](const auto& any) { return any.isLive("lives"); }, 4s));
    CHECK_FALSE(zone.last().isLive("gone"));
}

// Guards against blocked prompt parts that a restore unblocks, because only the instances have written them.
TEST_CASE("blocked prompt parts outlast a restore and are written again")
{
    RestorableZone zone(5);
    zone.store.put("blocked", "service", blockedPartsToJson(std::vector<ListedPart> { { 7, 1 } }));
    zone.store.saveCopy();
    const std::vector<ListedPart> known { { 7, 2 }, { 8, 0 } };
    zone.store.put("blocked", "service", blockedPartsToJson(known));
    REQUIRE(zone.reaches([&](const auto& any) { return any.parts() == known; }, settlingTime));
    std::this_thread::sleep_for(settlingTime);
    zone.store.restore();
    // An operator's change to the restored list.
    zone.store.put("blocked", "service", blockedPartsToJson(std::vector<ListedPart> { { 7, 1 }, { 9, 0 } }));
    const auto isBlocked = [](const auto& any) {
        const auto parts = any.parts();
        return std::ranges::count(parts, ListedPart { 7, 2 }) == 1 && std::ranges::count(parts, ListedPart { 8, 0 }) == 1;
    };
    const auto deadline = monotonicNow() + 5s;
    auto isAlwaysBlocked = true;
    while (monotonicNow() < deadline) {
        isAlwaysBlocked = isAlwaysBlocked && zone.reaches(isBlocked, 0s);
        std::this_thread::sleep_for(1ms);
    }
    CHECK(isAlwaysBlocked);
    const std::vector<ListedPart> merged { { 7, 2 }, { 9, 0 }, { 8, 0 } };
    CHECK(blockedPartsFromJson(zone.store.read("blocked", "service").value).parts == merged);
    CHECK(zone.reaches([&](const auto& any) { return any.parts() == merged; }, 0s));
    // Parts that the store lists again can be removed.
    zone.store.put("blocked", "service", blockedPartsToJson({}));
    CHECK(zone.reaches([](const auto& any) { return any.parts().empty(); }, 5s));
}

// Guards against instances that are not counted for some time, because a restore has lost their records.
TEST_CASE("the record of an instance is written again soon after a restore")
{
    RestorableZone zone(1);
    zone.store.saveCopy();
    zone.store.put("config", "main", 1);
    REQUIRE(zone.reachesVersion(1, propagationBound));
    zone.store.restore();
    REQUIRE(zone.store.read("instances", "edge-1").revision == 0);
    std::this_thread::sleep_for(4s);
    CHECK(zone.store.read("instances", "edge-1").revision > 0);
}
