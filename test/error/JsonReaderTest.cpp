#include "JsonReader.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
namespace leaf = boost::leaf;

namespace {

template <typename Read>
auto errorOf(std::string_view text, Read read) -> std::string
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_AUTO(value, parseJsonObject(text));
            JsonReader reader(value.get_object(), "$");
            BOOST_LEAF_CHECK(read(reader));
            BOOST_LEAF_CHECK(reader.finish());
            return std::string("none");
        },
        [](const ConfigError& error) { return std::string(name(error.code)) + " " + error.path; },
        [] { return std::string("untyped"); });
}

auto readPort(JsonReader& reader) -> leaf::result<void>
{
    BOOST_LEAF_CHECK(reader.integer("port", { 0, 65'535 }));
    return {};
}

}

// Guards against an invalid setting that is ignored or reported without its path.
TEST_CASE("each error has a type and a path")
{
    CHECK(errorOf(R"({"port":80})", readPort) == "none");
    CHECK(errorOf(R"({"port":80,"prot":1})", readPort) == "unknown_key $.prot");
    CHECK(errorOf(R"({})", readPort) == "missing_key $.port");
    CHECK(errorOf(R"({"port":"5s"})", readPort) == "wrong_unit $.port");
    CHECK(errorOf(R"({"port":"x"})", readPort) == "wrong_type $.port");
    CHECK(errorOf(R"({"port":1.5})", readPort) == "wrong_type $.port");
    CHECK(errorOf(R"({"port":70000})", readPort) == "out_of_range $.port");
    CHECK(errorOf(R"([1])", readPort) == "wrong_type $");
    CHECK(errorOf(R"({"port":)", readPort) == "malformed_json $");
}
