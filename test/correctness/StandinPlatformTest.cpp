#include "../StandinTest.h"

#include "Platform.h"

#include <catch2/catch.hpp>

#include <future>

using namespace jayhold;
using namespace jayhold::standin;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

struct TestPlatform {
    TestPlatform() = default;
    ~TestPlatform() { threads.stop(); }
    TestPlatform(const TestPlatform&) = delete;
    auto operator=(const TestPlatform&) -> TestPlatform& = delete;

    auto put(std::string_view name, int revision, const std::string& value) -> StandinResponse
    {
        return caller.call(endpoint, "PUT", "/v1/objects/" + std::string(name), json::string(value), { { "If-Match", "\"" + std::to_string(revision) + "\"" } });
    }

    auto fault(const json::object& faults) -> void { CHECK(caller.call(endpoint, "PUT", "/admin/faults", faults).status == 200); }

    IoThreads threads { 1 };
    Platform platform { threads, {} };
    HttpEndpoint endpoint = platform.endpoint();
    StandinClient caller;
};

}

// Guards against a platform that lets two writers succeed from the same revision, which would
// hide a lost conditional update.
TEST_CASE("an update succeeds only from the current revision")
{
    TestPlatform test;
    CHECK(test.caller.get(test.endpoint, "/v1/objects/a").status == 404);
    CHECK(test.put("a", 0, "one").body.at("revision") == 1);
    const auto late = test.put("a", 0, "two");
    CHECK(late.status == 409);
    CHECK(late.body.at("revision") == 1);
    CHECK(late.body.at("value") == "one");
    CHECK(test.put("a", 1, "two").body.at("revision") == 2);
    CHECK(test.put("a", 2, std::string((1U << 20U) + 1, 'x')).status == 413);
    CHECK(test.caller.get(test.endpoint, "/v1/objects/a").body.at("value") == "two");
}

// Guards against a lost response that also loses the write, which would hide a second run.
TEST_CASE("a write whose response is lost takes effect")
{
    TestPlatform test;
    test.fault({ { "lose_replies", 1 } });
    CHECK(test.put("a", 0, "one").status == 0);
    CHECK(test.caller.get(test.endpoint, "/v1/objects/a").body.at("value") == "one");
    CHECK(test.put("a", 1, "two").status == 200);
}

// Guards against a watch that misses a change or never ends.
TEST_CASE("a watch ends with the next change or at its timeout")
{
    TestPlatform test;
    test.put("a", 0, "one");
    CHECK(test.caller.get(test.endpoint, "/v1/objects/a?after_revision=1&wait_ms=20").status == 304);
    auto watch = std::async(std::launch::async, [&] {
        StandinClient other;
        return other.get(test.endpoint, "/v1/objects/a?after_revision=1&wait_ms=5000");
    });
    REQUIRE(becomesTrue(2s, [&] { return test.caller.count(test.endpoint, "pending_watches") == 1; }));
    test.put("a", 1, "two");
    CHECK(watch.get().body.at("value") == "two");
    CHECK(test.caller.count(test.endpoint, "watch") == 2);
}

// Guards against outages and list lag that have no effect when a scenario enables them.
TEST_CASE("outages and the lag of the instance list take effect")
{
    TestPlatform test;
    test.fault({ { "down", true } });
    CHECK(test.put("a", 0, "one").status == 503);
    test.fault({ { "down", "hang" } });
    auto hanging = std::async(std::launch::async, [&] {
        StandinClient other;
        return other.get(test.endpoint, "/v1/instances");
    });
    CHECK(hanging.wait_for(50ms) == std::future_status::timeout);
    test.fault({ { "down", false }, { "list_lag_ms", 100 } });
    CHECK(hanging.get().status == 200);
    test.caller.call(test.endpoint, "PUT", "/admin/instances", json::object { { "instances", json::array { json::object { { "id", "e1" } } } } });
    const auto listed = [&] { return test.caller.get(test.endpoint, "/v1/instances").body.at("instances").as_array().size(); };
    CHECK(listed() == 0);
    CHECK(becomesTrue(2s, [&] { return listed() == 1; }));
}
