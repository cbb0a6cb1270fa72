#include "ScenarioParser.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
namespace leaf = boost::leaf;

namespace {

/// @return the parse error of a text, or an error without a line if the text is valid.
auto parseError(std::string_view text) -> ScenarioError
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<ScenarioError> {
            BOOST_LEAF_CHECK(parseScenario(text));
            return ScenarioError {};
        },
        [](const ScenarioError& error) { return error; },
        [] { return ScenarioError { 0, 0, "unknown" }; });
}

struct InvalidScenario {
    std::string_view text;
    std::size_t line;
    std::size_t column;
};

constexpr std::string_view validScenario = R"(# a comment
start platform p1
start engine d1 zone alpine pool appraiser-decode-alpine role decode seats 4
start link l1 to d1
start entry e1 zone alpine
apply examples/caprock.json through e1
wait until ready = 1
load 40 per second for 5 s retrying through e1
at 2 s kill d1
stall l1
slow l1 by 5 ms
lose reply
lose 2 replies
platform down hanging
fault d1 delay_ms=10 frozen=true
wait until load ends
expect lost = 0
expect held of d1 <= 3 within 2s
)";

}

// Guards against statements that the parser misinterprets.
TEST_CASE("a valid scenario is parsed into its statements")
{
    const auto statements = parseScenario(validScenario).value();
    REQUIRE(statements.size() == 17);
    CHECK(statements[1].options.at("seats") == "4");
    CHECK(statements[6].duration == std::chrono::seconds(5));
    CHECK(statements[6].isRetrying);
    CHECK(statements[7].type == StatementType::Kill);
    CHECK(statements[7].at == std::chrono::seconds(2));
    CHECK(statements[8].options.at("stall") == "true");
    CHECK(statements[9].options.at("delay_us") == "5000");
    CHECK(statements[11].options.at("lose_replies") == "2");
    CHECK(statements[11].name == "p1");
    CHECK(statements[13].options.at("delay_ms") == "10");
    CHECK(toString(statements[16].condition) == "held of d1 <= 3");
    CHECK(statements[16].condition.within == std::chrono::seconds(2));
}

// Guards against error messages that point to the wrong place in the file.
TEST_CASE("syntax errors report their line and column")
{
    const std::vector<InvalidScenario> invalidScenarios {
        { "begin platform p1", 1, 1 },
        { "\n\n  kill e1", 3, 8 },
        { "start platform p1\nstart platform p1", 2, 16 },
        { "start machine m1", 1, 7 },
        { "start engine d1 zone alpine pool x", 1, 35 },
        { "start entry e1 zone", 1, 20 },
        { "start entry e1 zone a\napply f.json to e1", 2, 14 },
        { "load many per second for 5 s", 1, 6 },
        { "load 40 per second for 5", 1, 24 },
        { "load 40 per second for 5 hours", 1, 26 },
        { "expect lost == 0", 1, 13 },
        { "expect lost = 0 soon", 1, 17 },
        { "start platform p1\ncut p1", 2, 5 },
        { "lose reply", 1, 6 },
        { "start platform p1\nfault p1 delay", 2, 10 },
    };
    for (const auto& scenario : invalidScenarios) {
        INFO(scenario.text);
        const auto error = parseError(scenario.text);
        CHECK(error.line == scenario.line);
        CHECK(error.column == scenario.column);
        CHECK_FALSE(error.message.empty());
    }
}

// Guards against scenario files that crash the parser.
TEST_CASE("each prefix of a valid scenario parses or gives an error with its line")
{
    rc::prop("no prefix crashes the parser", [] {
        const auto size = *rc::gen::inRange<std::size_t>(0, validScenario.size());
        const auto error = parseError(validScenario.substr(0, size));
        RC_ASSERT(error.message.empty() || error.line > 0);
    });
}
