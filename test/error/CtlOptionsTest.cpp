#include "CtlOptions.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace jayhold;

namespace {

auto parsed(std::vector<std::string> words) -> CtlCommandLine
{
    words.insert(words.begin(), "jayholdctl");
    std::vector<char*> arguments;
    arguments.reserve(words.size());
    for (auto& word : words)
        arguments.push_back(word.data());
    return parseCtlCommandLine(arguments);
}

}

// Guards against a mistyped command line that does something other than the operator intended.
TEST_CASE("invalid command lines are usage errors")
{
    unsetenv("JAYHOLD_ENTRY");
    const std::vector<std::vector<std::string>> invalidCommandLines {
        {}, { "unknown" }, { "check" }, { "check", "a", "b" }, { "--entry", "nowhere", "show" }, { "--base", "x", "apply", "f" },
        { "show" }, { "--surprise" }, { "placement" },
        { "--entry", "127.0.0.1:1", "placement", "a", "b" }, { "--part", "a", "placement" }, { "--prompt-tokens", "x", "placement" }, { "--entry" }, { "--key-file", "/nonexistent/key", "hash-key" }
    };
    for (const auto& words : invalidCommandLines)
        CHECK(std::holds_alternative<CtlUsageError>(parsed(words)));
}

// Guards against a description of a request that reaches the instance with other fields or in another order.
TEST_CASE("the options of a placement are read")
{
    const auto options = std::get<CtlOptions>(parsed({ "-e", "127.0.0.1:1", "placement", "--service", "llm", "--max-output-tokens", "70", "--part", "1f=3000", "--part", "a=b=20" }));
    CHECK(options.placement.texts == std::vector<std::pair<std::string, std::string>> { { "service", "llm" } });
    CHECK(options.placement.numbers == std::vector<std::pair<std::string, std::int64_t>> { { "max_output_tokens", 70 } });
    CHECK(options.placement.parts == std::vector<std::pair<std::string, std::int64_t>> { { "1f", 3'000 }, { "a=b", 20 } });
}

// Guards against options that are lost or stored in the wrong field.
TEST_CASE("options and the environment are read")
{
    setenv("JAYHOLD_ENTRY", "127.0.0.1:1,127.0.0.1:2", 1);
    setenv("JAYHOLD_OPERATOR_KEY", "secret", 1);
    const auto fromEnvironment = std::get<CtlOptions>(parsed({ "show", "--json" }));
    CHECK(fromEnvironment.entries.size() == 2);
    CHECK(fromEnvironment.operatorKey == "secret");
    CHECK(fromEnvironment.printJson);
    const auto given = std::get<CtlOptions>(parsed({ "-e", "127.0.0.1:9", "-b", "7", "apply", "file" }));
    CHECK(given.entries == std::vector<HttpEndpoint> { { "127.0.0.1", 9 } });
    CHECK(given.baseVersion == 7);
    CHECK(given.arguments == std::vector<std::string> { "file" });
    CHECK(std::holds_alternative<CtlInformation>(parsed({ "--help" })));
    unsetenv("JAYHOLD_ENTRY");
    unsetenv("JAYHOLD_OPERATOR_KEY");
}
