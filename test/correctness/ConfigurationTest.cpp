#include "ConfigurationChange.h"
#include "FileError.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
namespace leaf = boost::leaf;

namespace {

auto parsed(const std::string& text) -> Configuration
{
    return leaf::try_handle_all(
        [&] { return parseConfiguration(text); },
        [](const ConfigError& error) -> Configuration { throw std::runtime_error(describe(error)); },
        []() -> Configuration { throw std::runtime_error("untyped error"); });
}

auto example(const std::string& name) -> std::string
{
    return leaf::try_handle_all(
        [&] { return readFile(std::string(JAYHOLD_EXAMPLES) + "/" + name + ".json"); },
        []() -> std::string { throw std::runtime_error("the example can't be read"); });
}

}

// Guards against a shipped example that validation rejects or that printing changes.
TEST_CASE("the shipped examples are valid and survive a round trip")
{
    for (const std::string name : { "caprock", "babamen" }) {
        const auto text = example(name);
        CHECK(printConfiguration(parsed(text)) == text);
    }
}

// Guards against a field that is written but not read back, or the reverse.
TEST_CASE("printing and parsing are inverse")
{
    rc::prop("every valid configuration survives a round trip", [] {
        auto configuration = parsed(example("caprock"));
        configuration.version = *rc::gen::inRange<std::int64_t>(1, 1'000'000'000'000);
        auto& service = configuration.services.front();
        service.wastedPrefillWeight = *rc::gen::inRange(0, 1'000) / 1'000.0;
        service.checksFencing = *rc::gen::arbitrary<bool>();
        service.maxPromptTokens = *rc::gen::inRange(1, 1'000'000);
        service.pools.front().slots = *rc::gen::inRange(1, 100'000);
        service.pools.front().memoryBlocks = *rc::gen::inRange(1, 1'000'000);
        service.kinds.front().deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 86'400'000));
        service.kinds.front().pathPrefix = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        RC_ASSERT(parsed(printConfiguration(configuration)) == configuration);
    });
}

// Guards against a diff that omits a change or reports a different order as a change.
TEST_CASE("a diff names each changed value and ignores the order of named lists")
{
    const auto before = parsed(example("caprock"));
    auto after = before;
    std::reverse(after.services.begin(), after.services.end());
    CHECK(diffConfigurations(before, after).empty());
    after.services.back().wastedPrefillWeight = 0.75;
    after.customers.pop_back();
    const auto changes = diffConfigurations(before, after);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].path == "$.customers[appraisers]");
    CHECK(changes[0].after.empty());
    CHECK(changes[1].path == "$.services[appraiser-llm].wasted_prefill_weight");
    CHECK(changes[1].after == "0.75");
}
