#include "EntrySettings.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

auto validSettings() -> json::object
{
    return json::parse(R"({
        "instance": "entry-alpine-1", "availability_zone": "alpine", "listen": "127.0.0.1:8080",
        "peer_listen": "127.0.0.1:8081", "platform": ["127.0.0.1:9000"], "peer_key": "secret"
    })")
        .as_object();
}

template <typename Edit>
auto errorAfter(Edit edit) -> std::string
{
    auto object = validSettings();
    edit(object);
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parseEntrySettings(json::serialize(object)));
            return std::string("none");
        },
        [](const ConfigError& error) { return std::string(name(error.code)) + " " + error.path; },
        [] { return std::string("untyped"); });
}

}

// Guards against an instance that starts with settings other than the operator intended.
TEST_CASE("each invalid setting is rejected with its path")
{
    CHECK(errorAfter([](json::object&) {}) == "none");
    CHECK(errorAfter([](json::object& o) { o["thread"] = 2; }) == "unknown_key $.thread");
    CHECK(errorAfter([](json::object& o) { o["threads"] = "two"; }) == "wrong_type $.threads");
    CHECK(errorAfter([](json::object& o) { o["threads"] = 0; }) == "out_of_range $.threads");
    CHECK(errorAfter([](json::object& o) { o["drain_ms"] = "5s"; }) == "wrong_unit $.drain_ms");
    CHECK(errorAfter([](json::object& o) { o.erase("instance"); }) == "missing_key $.instance");
    CHECK(errorAfter([](json::object& o) { o["listen"] = "localhost:8080"; }) == "out_of_range $.listen");
    CHECK(errorAfter([](json::object& o) { o["peer_listen"] = "127.0.0.1:99999"; }) == "out_of_range $.peer_listen");
    CHECK(errorAfter([](json::object& o) { o["peer_advertise"] = "nowhere"; }) == "out_of_range $.peer_advertise");
    CHECK(errorAfter([](json::object& o) { o["platform"] = json::array { "127.0.0.1:9000", "x" }; }) == "out_of_range $.platform[1]");
    CHECK(errorAfter([](json::object& o) { o["platform"] = json::array {}; }) == "missing_key $.platform");
    CHECK(errorAfter([](json::object& o) { o["seed_peers"] = json::array { "127.0.0.1" }; }) == "out_of_range $.seed_peers[0]");
    CHECK(errorAfter([](json::object& o) { o["operator_keys_sha256"] = json::array { "abc" }; }) == "out_of_range $.operator_keys_sha256[0]");
    CHECK(errorAfter([](json::object& o) { o["limits"] = json::object { { "body", 1 } }; }) == "unknown_key $.limits.body");
    CHECK(errorAfter([](json::object& o) { o["limits"] = json::object { { "open_requests", 0 } }; }) == "out_of_range $.limits.open_requests");
    CHECK(errorAfter([](json::object& o) { o["timeouts"] = json::object { { "stall_ms", true } }; }) == "wrong_type $.timeouts.stall_ms");
    CHECK(errorAfter([](json::object& o) { o["log_level"] = "loud"; }) == "out_of_range $.log_level");
}

// Guards against a setting that is parsed but not stored.
TEST_CASE("parsed settings are stored")
{
    auto object = validSettings();
    object["threads"] = 3;
    object["drain_ms"] = 1'500;
    object["peer_advertise"] = "127.0.0.2:8081";
    object["limits"] = json::object { { "body_bytes", 4'096 }, { "open_requests", 7 } };
    object["log_level"] = "warning";
    const auto settings = leaf::try_handle_all(
        [&] { return parseEntrySettings(json::serialize(object)); },
        []() -> EntrySettings { throw std::runtime_error("the settings are rejected"); });
    CHECK(settings.instance == "entry-alpine-1");
    CHECK(settings.listen == HttpEndpoint { "127.0.0.1", 8080 });
    CHECK(settings.peerAdvertise == HttpEndpoint { "127.0.0.2", 8081 });
    CHECK(settings.threads == 3);
    CHECK(settings.drainTimeout == std::chrono::milliseconds(1'500));
    CHECK(settings.limits.bodyBytes == 4'096);
    CHECK(settings.limits.openRequests == 7);
    CHECK(settings.logLevel == LogLevel::Warning);
}
