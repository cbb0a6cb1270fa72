#include "Timeline.h"
#include "LoggedEventJson.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace jayhold;

namespace {

auto eventOf(const std::string& instance, std::uint64_t sequence, HybridTime time, const std::string& request) -> LoggedEvent
{
    return { sequence, time, instance, "step", { { "request", request } } };
}

}

// Guards against events that are lost, duplicated or out of order when logs are merged.
TEST_CASE("merged logs keep every event in causal order")
{
    rc::prop("the merge is sorted and complete", [](const std::vector<std::vector<std::uint8_t>>& gaps) {
        std::vector<std::vector<LoggedEvent>> logs;
        std::size_t total = 0;
        for (std::size_t process = 0; process < gaps.size(); ++process) {
            auto& log = logs.emplace_back();
            HybridTime time;
            for (const auto gap : gaps[process]) {
                time = gap == 0 ? HybridTime { time.wallMicroseconds, time.counter + 1 } : HybridTime { time.wallMicroseconds + gap, 0 };
                log.push_back(eventOf("i" + std::to_string(process), log.size() + 1, time, "r"));
            }
            total += log.size();
        }
        const auto merged = mergeTimelines(logs);
        RC_ASSERT(merged.size() == total);
        RC_ASSERT(std::ranges::is_sorted(merged, {}, &LoggedEvent::time));
        for (std::size_t process = 0; process < logs.size(); ++process) {
            std::uint64_t last = 0;
            for (const auto& event : merged) {
                if (event.instance == "i" + std::to_string(process))
                    RC_ASSERT(event.sequence == ++last);
            }
        }
    });
}

// Guards against a timeline of a request that lacks events or contains those of other requests.
TEST_CASE("the filter keeps the events of one request")
{
    const std::vector<LoggedEvent> events { eventOf("a", 1, { 1, 0 }, "r1"), eventOf("b", 1, { 2, 0 }, "r2"), eventOf("a", 2, { 3, 0 }, "r1") };
    const auto kept = filterTimeline(events, { "r1", std::nullopt });
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].time == HybridTime { 1, 0 });
    CHECK(kept[1].time == HybridTime { 3, 0 });
    CHECK(filterTimeline(events, { "r1", "7" }).empty());
    CHECK(filterTimeline(events, {}).size() == 3);
}

// Guards against an event that the administration API changes.
TEST_CASE("logged events survive a JSON round trip")
{
    const LoggedEvent event { 5, { 17, 2 }, "entry-1", "refused", { { "request", "r1" }, { "reason", "a \"b\"\n" } } };
    const auto read = loggedEventFromJson(toJson(event));
    REQUIRE(read);
    CHECK(read->sequence == 5);
    CHECK(read->time == event.time);
    CHECK(read->fields[1].value == event.fields[1].value);
    CHECK_FALSE(loggedEventFromJson(boost::json::object { { "sequence", 1 } }));
}
