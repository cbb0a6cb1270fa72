#include "Configuration.h"
#include "FileError.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

auto caprock() -> json::value
{
    const auto text = leaf::try_handle_all(
        [] { return readFile(std::string(JAYHOLD_EXAMPLES) + "/caprock.json"); },
        []() -> std::string { throw std::runtime_error("the example can't be read"); });
    return json::parse(text);
}

template <typename Edit>
auto errorAfter(Edit edit) -> std::string
{
    auto value = caprock();
    edit(value);
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(configurationFromJson(value));
            return std::string("none");
        },
        [](const ConfigError& error) { return std::string(name(error.code)) + " " + error.path; },
        [] { return std::string("untyped"); });
}

auto pool(json::value& value, int index) -> json::object&
{
    return value.at("services").at(0).at("pools").at(static_cast<std::size_t>(index)).as_object();
}

}

// Guards against an invalid configuration that takes effect or is reported without the path of the error.
TEST_CASE("each invalid configuration is rejected with the path of the error")
{
    CHECK(errorAfter([](json::value&) {}) == "none");
    CHECK(errorAfter([](json::value& v) { pool(v, 1).erase("availability_zone"); }) == "missing_zone $.services[0].pools[1].availability_zone");
    CHECK(errorAfter([](json::value& v) { pool(v, 1)["availability_zone"] = "nowhere"; }) == "unknown_reference $.services[0].pools[1].availability_zone");
    CHECK(errorAfter([](json::value& v) { pool(v, 0)["seat"] = 3; }) == "unknown_key $.services[0].pools[0].seat");
    CHECK(errorAfter([](json::value& v) { pool(v, 0)["seats"] = "3 seats"; }) == "wrong_unit $.services[0].pools[0].seats");
    CHECK(errorAfter([](json::value& v) { pool(v, 0)["seats"] = 0; }) == "out_of_range $.services[0].pools[0].seats");
    CHECK(errorAfter([](json::value& v) { v.at("services").at(1).at("pools").at(0).as_object()["role"] = "decode"; }) == "out_of_range $.services[1].pools[0].role");
    CHECK(errorAfter([](json::value& v) { pool(v, 1)["name"] = pool(v, 0)["name"]; }) == "duplicate_name $.services[0].pools[1].name");
    CHECK(errorAfter([](json::value& v) { v.at("services").at(0).at("kinds").as_array().clear(); }) == "missing_key $.services[0].kinds");
    CHECK(errorAfter([](json::value& v) { v.at("services").at(0).at("kinds").at(0).as_object()["deadline_ms"] = "10s"; }) == "wrong_unit $.services[0].kinds[0].deadline_ms");
    CHECK(errorAfter([](json::value& v) { v.at("customers").at(0).as_object()["key_sha256"] = "secret"; }) == "out_of_range $.customers[0].key_sha256");
    CHECK(errorAfter([](json::value& v) { v.as_object()["version"] = 1.5; }) == "wrong_type $.version");
}

// Guards against an active configuration that is replaced by an older or equal version.
TEST_CASE("only a higher version may replace the active one")
{
    Configuration next { .version = 5 };
    CHECK(checkVersionIsNewer(next, 4));
    CHECK_FALSE(checkVersionIsNewer(next, 5));
    CHECK_FALSE(checkVersionIsNewer(next, 6));
}
