#include "RequestHistory.h"
#include "CtlCommands.h"
#include "LogLine.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace jayhold;

namespace {

auto linesOf(const std::vector<std::string>& texts) -> std::vector<ParsedLogLine>
{
    std::vector<ParsedLogLine> lines;
    for (const auto& text : texts) {
        if (auto line = parseLogLine(text))
            lines.push_back(std::move(*line));
    }
    return lines;
}

const std::vector<std::string> refusedLogs {
    "level=INFO time=5000000.0 event=request_refused instance=edge-2 request=r1 reason=retries_exhausted ran=unknown retry_after_ms=0",
    "level=INFO time=4000000.0 event=request_placed instance=edge-2 request=r1 backend=b1 waited_ms=900",
    "level=INFO time=4600000.0 event=decode_failed instance=edge-2 request=r1 backend=b1 failure=connection_lost detail=\"end of stream\" tokens=3",
    "level=INFO time=4500000.0 event=backend_changed instance=edge-2 backend=b1 state=leaving",
    "level=INFO time=4500000.0 event=backend_changed instance=edge-2 backend=b9 state=leaving",
    "level=INFO time=4500000.0 event=backend_changed instance=edge-1 backend=b1 state=leaving",
    "level=WARN time=4100000.0 event=store_lost instance=edge-2 kind=config detail=\"timed out\"",
    "level=INFO time=4700000.0 event=request_finished instance=edge-2 request=r2 status=200",
    "level=INFO time=4600000.0 event=decode_failed instance=edge-2 request=r1 backend=b1 failure=connection_lost detail=\"end of stream\" tokens=3",
};

}

// Guards against log lines that the parser does not read as the logger wrote them.
TEST_CASE("every log line is read back as it was written")
{
    CHECK(rc::check("any fields", [] {
        const auto value = *rc::gen::arbitrary<std::string>();
        const std::vector<LogField> fields { { "instance", "edge-1" }, { "request", std::string_view(value) }, { "count", 3 } };
        const auto line = parseLogLine("level=INFO " + formatLogLine({ 17, 2 }, "step", fields));
        RC_ASSERT(line.has_value());
        RC_ASSERT((line->time == HybridTime { 17, 2 }));
        RC_ASSERT(line->event == "step" && line->instance == "edge-1");
        RC_ASSERT(line->field("request") == value && line->field("count") == "3" && !line->isTruncated);
    }));
    CHECK(rc::check("any bytes", [] {
        parseLogLine(*rc::gen::arbitrary<std::string>());
    }));
}

// Guards against a crash or a wrong value when a log collector truncates a line or adds a prefix.
TEST_CASE("truncated or prefixed lines keep their complete fields")
{
    const std::string whole = R"(time=17.0 event=step instance=edge-1 request=r1 detail="two words")";
    const auto prefixed = parseLogLine("edge-1 | Dec 4 " + whole);
    REQUIRE(prefixed);
    CHECK(prefixed->event == "step");
    CHECK(prefixed->field("detail") == "two words");
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        const auto begin = parseLogLine(whole.substr(0, cut));
        CHECK((!begin || begin->isTruncated || begin->field("detail") != "two words"));
        parseLogLine(whole.substr(cut));
    }
    CHECK(parseLogLine(whole.substr(0, whole.size() - 3))->isTruncated);
    CHECK_FALSE(parseLogLine("no pairs here"));
    CHECK_FALSE(parseLogLine(""));
}

// Guards against a history that is out of order, contains lines of other requests, or lacks events of the
// instance and the backend server that happened at the same time.
TEST_CASE("a request's history has its lines and the related events in order")
{
    const auto history = explainRequest(linesOf(refusedLogs), "r1");
    std::vector<std::string> events;
    for (const auto& event : history.events)
        events.push_back(event.line.event);
    CHECK(events == std::vector<std::string> { "request_placed", "store_lost", "backend_changed", "decode_failed", "request_refused" });
    CHECK(history.outcome == "refused: retries_exhausted");
    CHECK(history.cause == "its attempts failed, and no more are allowed; it may have run; 1 failure: decode_failed at b1: end of stream; placed after 900 ms");
    CHECK(explainRequest(linesOf(refusedLogs), "r2").outcome == "answered with status 200");
    CHECK(explainRequest(linesOf(refusedLogs), "r3").outcome == "not in these logs");
}

// Guards against attempts of one request that are shown as separate requests.
TEST_CASE("the attempts of one request are shown together")
{
    const auto lines = linesOf({ "time=1.0 event=prefill_failed instance=e request=e/run/7.1 backend=b", "time=2.0 event=request_finished instance=e request=e/run/7.2",
        "time=3.0 event=request_finished instance=e request=e/run/8.1" });
    CHECK(explainRequest(lines, "e/run/7.2").events.size() == 2);
    CHECK(explainRequest(lines, "e/run/7").events.size() == 2);
    CHECK(explainRequest(linesOf({ "time=1.0 event=request_placed instance=e request=a.b" }), "a.c").events.empty());
}

// Guards against a request that is shown as answered although its process died.
TEST_CASE("a request without a logged end is shown as unfinished")
{
    const auto history = explainRequest(linesOf({ "time=1.0 event=request_placed instance=e request=r1 backend=b", "event=transfer_started instance=e request=r1" }), "r1");
    CHECK_THAT(history.outcome, Catch::StartsWith("no end is logged"));
    REQUIRE(history.events.size() == 2);
    CHECK(history.events.back().line.event == "transfer_started");
}

// Guards against files that are not read, and JSON output with less information than the text.
TEST_CASE("explain reads several files and prints text or JSON")
{
    const auto path = (std::filesystem::temp_directory_path() / ("jayhold-logs-" + std::to_string(getpid()) + "-")).string();
    const auto split = refusedLogs.size() / 2;
    for (std::size_t part = 0; part < 2; ++part) {
        std::ofstream file(path + std::to_string(part));
        for (auto index = part * split; index < (part == 0 ? split : refusedLogs.size()); ++index)
            file << refusedLogs[index] << '\n';
    }
    std::ostringstream result;
    std::ostringstream errors;
    CtlOptions options { .command = "explain", .arguments = { "r1", path + "1" } };
    options.logFiles = { path + "0" };
    CHECK(runCtlCommand(options, { result, errors }) == ExitCode::Success);
    CHECK_THAT(result.str(), Catch::Contains("request r1: refused: retries_exhausted") && Catch::Contains("1000.0 ms  edge-2 request_refused reason=retries_exhausted"));
    result.str({});
    options.printJson = true;
    CHECK(runCtlCommand(options, { result, errors }) == ExitCode::Success);
    const auto object = boost::json::parse(result.str()).as_object();
    CHECK(object.at("events").as_array().size() == 5);
    CHECK(object.at("events").at(0).at("fields").at("backend") == "b1");
    options.logFiles = { "/nonexistent/log" };
    CHECK(runCtlCommand(options, { result, errors }) == ExitCode::Failed);
    for (const auto* part : { "0", "1" })
        std::remove((path + part).c_str());
}
