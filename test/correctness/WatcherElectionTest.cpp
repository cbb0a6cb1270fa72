#include "WatcherElection.h"
#include "DirectoryUpdate.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Instances of one zone that hear each other's messages every 100 ms, but for those that are cut off.
struct Zone {
    explicit Zone(int count)
    {
        for (int index = 0; index < count; ++index) {
            duties.emplace_back();
            duties.back().instance = "edge-" + std::to_string(100 + index);
        }
        isSilent.resize(duties.size());
    }

    auto run(Duration time) -> void
    {
        for (Duration passed {}; passed < time; passed += 100ms) {
            now += 100ms;
            for (std::size_t sender = 0; sender < duties.size(); ++sender) {
                starts += updateElection(duties[sender], now) && duties[sender].isWatching;
                for (std::size_t receiver = 0; receiver < duties.size(); ++receiver) {
                    if (sender != receiver && duties[sender].isWatching && !isSilent[sender] && !isSilent[receiver])
                        updateWatcher(duties[receiver], now, duties[sender].instance, true);
                }
            }
        }
    }

    auto watching() const -> int
    {
        int count = 0;
        for (std::size_t index = 0; index < duties.size(); ++index)
            count += duties[index].isWatching && !isSilent[index];
        return count;
    }

    std::vector<WatcherElection> duties;
    std::vector<bool> isSilent;
    TimePoint now { 1'000s };
    int starts = 0;
};

}

// Load pattern: 20 instances of a zone would each pay a call for each change in the store.
TEST_CASE("a few instances of a zone watch for all")
{
    Zone zone(20);
    zone.run(2s);
    CHECK(zone.watching() == 3);
}

// Guards against small zones in which an instance relies on others for no gain.
TEST_CASE("in a zone of three all watch")
{
    Zone zone(3);
    zone.run(5s);
    CHECK(zone.watching() == 3);
}

// Guards against changes that nobody passes on once a watcher has died, and against all instances
// calling the store at the same moment.
TEST_CASE("the place of a dead watcher is taken by few")
{
    Zone zone(20);
    zone.run(2s);
    zone.starts = 0;
    zone.isSilent[1] = true;
    zone.run(2s);
    CHECK(zone.watching() == 3);
    CHECK(zone.starts <= 5);
}

// Guards against instances that hear of no change while all watchers of their zone are gone.
TEST_CASE("without watchers all watch by themselves within the limit")
{
    Zone zone(20);
    zone.run(2s);
    for (std::size_t index = 0; index < zone.duties.size(); ++index)
        zone.isSilent[index] = zone.duties[index].isWatching;
    zone.run(1200ms);
    CHECK(zone.watching() >= 3);
}

// Guards against an instance that is cut off from its zone and trusts in messages that never come.
TEST_CASE("an instance that hears nobody watches by itself")
{
    Zone zone(20);
    zone.run(2s);
    zone.isSilent[19] = true;
    zone.run(1200ms);
    CHECK(zone.duties[19].isWatching);
}

// Guards against a watcher whose own calls fail and that still counts as one.
TEST_CASE("a watcher that lost the store counts no more")
{
    WatcherElection duty { .instance = "edge-9" };
    const TimePoint now { 1'000s };
    for (const auto* name : { "edge-1", "edge-2", "edge-3" })
        updateWatcher(duty, now, name, true);
    REQUIRE(updateElection(duty, now));
    REQUIRE_FALSE(duty.isWatching);
    for (const auto* name : { "edge-1", "edge-2", "edge-3" })
        updateWatcher(duty, now, name, false);
    CHECK(updateElection(duty, now));
    CHECK(duty.isWatching);
}

// Guards against news that lose a change or its order on the way between two instances.
TEST_CASE("news of changes arrive as they were sent")
{
    rc::prop("print and parse", [](std::int64_t revision, bool isDeleted) {
        // Names come from JSON, so they are valid text.
        const auto name = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        DirectoryUpdate news { "edge-1", true, KindChanges { "servers", revision, revision, {} } };
        const boost::json::value value { { "zone", name } };
        news.changes->changes.push_back({ { name, revision, isDeleted ? boost::json::value() : value }, isDeleted });
        news.changes->changes.push_back({ { "last", revision, value }, false });
        const auto read = parseDirectoryUpdate(serializeDirectoryUpdate(news));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->instance == "edge-1");
        RC_ASSERT(read->changes.has_value());
        RC_ASSERT(read->changes->after == revision);
        RC_ASSERT(read->changes->changes.size() == 2U);
        RC_ASSERT(read->changes->changes[0].item.name == name);
        RC_ASSERT(read->changes->changes[0].item.revision == revision);
        RC_ASSERT(read->changes->changes[0].isDeleted == isDeleted);
        RC_ASSERT(read->changes->changes[1].item.value == value);
    });
}

// Guards against news with a gap: a change that can't be read would be missing for good.
TEST_CASE("news with an unreadable change are not taken")
{
    CHECK_FALSE(parseDirectoryUpdate(R"({"instance":"a","watching":true,"kind":"servers","after":1,"up_to":3,"changes":[{"name":"x"}]})"));
    CHECK_FALSE(parseDirectoryUpdate(R"({"instance":"a"})"));
    CHECK(parseDirectoryUpdate(R"({"instance":"a","watching":false})"));
}
