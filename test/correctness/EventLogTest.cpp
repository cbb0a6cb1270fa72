#include "EventLog.h"

#include <catch2/catch.hpp>

using namespace jayhold;

// Guards against a value with a line break forging a second log line.
TEST_CASE("a log line stays one line and quotes unusual values")
{
    const std::vector<LogField> fields { { "reason", "two words" }, { "input", "a\nb\"c\x01" }, { "count", 3 }, { "empty", "" } };
    CHECK(formatLogLine({ 7, 1 }, "test", fields)
        == R"(time=7.1 event=test reason="two words" input="a\nb\"c\x01" count=3 empty="")");
}

// Guards against unbounded memory and against a reader skipping or repeating events.
TEST_CASE("the ring buffer keeps the newest events in order")
{
    configureLogging(LogLevel::Error);
    EventLog log("i1", 3);
    for (int index = 0; index < 5; ++index)
        log.record(LogLevel::Info, "step", { { "index", index } });
    const auto all = log.after(0, 10);
    REQUIRE(all.size() == 3);
    CHECK(all.front().sequence == 3);
    CHECK(all.front().time < all.back().time);
    CHECK(log.after(4, 10).size() == 1);
    CHECK(log.after(5, 10).empty());
    CHECK(log.after(0, 2).back().sequence == 4);
}
