#include "WatcherElection.h"
#include "DirectoryUpdate.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Instances of one zone that receive each other's messages every 100 ms, except for those marked silent.
struct Zone {
    explicit Zone(int count)
    {
        for (int index = 0; index < count; ++index) {
            elections.emplace_back();
            elections.back().instance = "edge-" + std::to_string(100 + index);
        }
        isSilent.resize(elections.size());
    }

    auto run(Duration time) -> void
    {
        for (Duration passed {}; passed < time; passed += 100ms) {
            now += 100ms;
            for (std::size_t sender = 0; sender < elections.size(); ++sender) {
                starts += updateElection(elections[sender], now) && elections[sender].isWatching;
                for (std::size_t receiver = 0; receiver < elections.size(); ++receiver) {
                    if (sender != receiver && elections[sender].isWatching && !isSilent[sender] && !isSilent[receiver])
                        updateWatcher(elections[receiver], now, elections[sender].instance, true);
                }
            }
        }
    }

    auto watching() const -> int
    {
        int count = 0;
        for (std::size_t index = 0; index < elections.size(); ++index)
            count += elections[index].isWatching && !isSilent[index];
        return count;
    }

    std::vector<WatcherElection> elections;
    std::vector<bool> isSilent;
    TimePoint now { 1'000s };
    int starts = 0;
};

}

// Load pattern: 20 instances of a zone would each make a call for each change in the store.
TEST_CASE("a few instances of a zone watch the store for all")
{
    Zone zone(20);
    zone.run(2s);
    CHECK(zone.watching() == 3);
}

// Guards against small zones in which an instance relies on watchers without a benefit.
TEST_CASE("in a zone of three all instances are watchers")
{
    Zone zone(3);
    zone.run(5s);
    CHECK(zone.watching() == 3);
}

// Guards against changes that no watcher forwards after a watcher has died, and against all instances
// calling the store at the same time.
TEST_CASE("a dead watcher is replaced by only a few instances")
{
    Zone zone(20);
    zone.run(2s);
    zone.starts = 0;
    zone.isSilent[1] = true;
    zone.run(2s);
    CHECK(zone.watching() == 3);
    CHECK(zone.starts <= 5);
}

// Guards against instances that receive no changes while all watchers of their zone are gone.
TEST_CASE("new watchers are elected within the timeout when all are gone")
{
    Zone zone(20);
    zone.run(2s);
    for (std::size_t index = 0; index < zone.elections.size(); ++index)
        zone.isSilent[index] = zone.elections[index].isWatching;
    zone.run(1200ms);
    CHECK(zone.watching() >= 3);
}

// Guards against an instance that is isolated from its zone and relies on messages that never arrive.
TEST_CASE("an isolated instance watches the store itself")
{
    Zone zone(20);
    zone.run(2s);
    zone.isSilent[19] = true;
    zone.run(1200ms);
    CHECK(zone.elections[19].isWatching);
}

// Guards against a watcher that is still counted although its calls to the store fail.
TEST_CASE("a watcher that lost its connection to the store is not counted")
{
    WatcherElection election { .instance = "edge-9" };
    const TimePoint now { 1'000s };
    for (const auto* name : { "edge-1", "edge-2", "edge-3" })
        updateWatcher(election, now, name, true);
    REQUIRE(updateElection(election, now));
    REQUIRE_FALSE(election.isWatching);
    for (const auto* name : { "edge-1", "edge-2", "edge-3" })
        updateWatcher(election, now, name, false);
    CHECK(updateElection(election, now));
    CHECK(election.isWatching);
}

// Guards against a directory update that loses a change or the order of changes in transit.
TEST_CASE("directory updates survive serialization")
{
    rc::prop("serialize and parse", [](std::int64_t revision, bool isDeleted) {
        // Names are parsed from JSON, so they are valid UTF-8.
        const auto name = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        DirectoryUpdate update { "edge-1", true, KindChanges { "servers", revision, revision, {} }, 7 };
        const boost::json::value value { { "zone", name } };
        update.changes->changes.push_back({ { name, revision, isDeleted ? boost::json::value() : value }, isDeleted });
        update.changes->changes.push_back({ { "last", revision, value }, false });
        const auto read = parseDirectoryUpdate(serializeDirectoryUpdate(update));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->instance == "edge-1");
        RC_ASSERT(read->history == 7);
        RC_ASSERT(read->changes.has_value());
        RC_ASSERT(read->changes->after == revision);
        RC_ASSERT(read->changes->changes.size() == 2U);
        RC_ASSERT(read->changes->changes[0].item.name == name);
        RC_ASSERT(read->changes->changes[0].item.revision == revision);
        RC_ASSERT(read->changes->changes[0].isDeleted == isDeleted);
        RC_ASSERT(read->changes->changes[1].item.value == value);
    });
}

// Guards against an update with a gap: a change that can't be read would never be applied.
TEST_CASE("a directory update with an unreadable change is rejected")
{
    CHECK_FALSE(parseDirectoryUpdate(R"({"instance":"a","watching":true,"kind":"servers","after":1,"up_to":3,"changes":[{"name":"x"}]})"));
    CHECK_FALSE(parseDirectoryUpdate(R"({"instance":"a"})"));
    CHECK(parseDirectoryUpdate(R"({"instance":"a","watching":false})"));
}
