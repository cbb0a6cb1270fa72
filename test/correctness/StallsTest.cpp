#include "Stalls.h"

#include "LogLine.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace jayhold;
using namespace jayhold::soak;
using namespace std::chrono_literals;

namespace {

/// @return a line of an instance, written some time ago.
auto lineOf(const std::string& instance, Duration age, const std::string& event, std::vector<LogField> fields) -> std::string
{
    const auto systemNow = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    fields.insert(fields.begin(), { "instance", instance });
    return formatLogLine({ (systemNow - age).count(), 0 }, event, fields);
}

}

// Guards against a late shutdown or an unanswered request that is put down to the machine although the instance stood
// still, or to the instance although the soak did.
TEST_CASE("a failure of a bound of time names the processes that stood still in its window")
{
    const auto now = monotonicNow();
    const std::vector<std::string> lines { lineOf("edge-1", 2'500ms, "draining", {}), lineOf("edge-1", 1'000ms, "loop_stalled", { { "thread", 0 }, { "late_ms", 1'370 }, { "cpu_ms", 3 }, { "waited_ms", 1'200 } }), lineOf("edge-2", 9s, "loop_stalled", { { "late_ms", 400 } }) };
    auto stalls = entryStalls(lines);
    REQUIRE(stalls.size() == 2);
    CHECK(stalls[0].process == "edge-1");
    CHECK(stalls[0].length == 1'370ms);
    CHECK(std::chrono::abs(stalls[0].until - (now - 1s)) < 1s);
    stalls.push_back({ "soak", now - 4s, 1'800ms, {} });
    const auto text = describeStalls(stalls, lineTimes(lines), now - 3s, now);
    CHECK_THAT(text, Catch::Matches("edge-1 for 1370 ms until [0-9]+ ms cpu_ms=3 waited_ms=1200; edge-1 silent for [0-9]+ ms; edge-2 silent for 3000 ms"));
    CHECK(describeStalls(stalls, {}, now - 5s, now - 3'500ms) == "soak for 1800 ms until 1000 ms");
    CHECK(describeStalls(stalls, {}, now - 20s, now - 15s) == "no process (soak: 50 ms, others: 250 ms)");
}

// Guards against stalls of backend servers and links that are missed, so that only instances and the soak are suspected.
TEST_CASE("the stalls of backend servers and links are read from their output")
{
    const std::vector<std::string> lines { "event=listening address=127.0.0.1:1", "event=loop_stalled at=5000000 thread=0 late_ms=700 cpu_ms=0 waited_ms=-1" };
    const auto stalls = standinStalls("decode-4", lines);
    REQUIRE(stalls.size() == 1);
    CHECK(stalls[0].until == TimePoint(5s));
    CHECK(describeStalls(stalls, {}, TimePoint(4s), TimePoint(6s)) == "decode-4 for 700 ms until 1000 ms cpu_ms=0 waited_ms=-1");
}

// Guards against a process that has not exited in time and leaves no trace of where it waits.
TEST_CASE("the threads of a process are described with their state")
{
    CHECK_THAT(describeThreads(getpid()), Catch::Matches("( \\[[0-9]+ [RSD] [^ ]* ran [0-9]+ waited [0-9]+\\])+"));
}
