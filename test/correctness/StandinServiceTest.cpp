#include "../StandinTest.h"

#include "Link.h"
#include "ServiceResponse.h"
#include "StandinService.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::standin;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

struct TestService {
    TestService() = default;
    ~TestService() { threads.stop(); }
    TestService(const TestService&) = delete;
    auto operator=(const TestService&) -> TestService& = delete;

    IoThreads threads { 1 };
    StandinService service { threads, {} };
    HttpEndpoint endpoint = service.endpoint();
    StandinClient caller;
};

}

// Guards against a service that does not count a second run, which would hide a duplicate deposit.
TEST_CASE("every run of a call is counted, even if its response is dropped")
{
    TestService test;
    const json::object body { { "amount", 5 } };
    const auto deposit = [&](const std::string& key) { return test.caller.call(test.endpoint, "POST", "/deposits", body, { { "Idempotency-Key", key } }); };
    const auto response = deposit("k1");
    CHECK(json::serialize(response.body) == expectedServiceResponse("POST", "/deposits", json::serialize(body)));
    CHECK(test.caller.count(test.endpoint, "largest_runs_by_key") == 1);
    test.caller.call(test.endpoint, "PUT", "/admin/faults", json::object { { "drop_replies", 1 } });
    CHECK(deposit("k2").status == 0);
    CHECK(deposit("k2").status == 200);
    CHECK(test.caller.count(test.endpoint, "largest_runs_by_key") == 2);
    CHECK(test.caller.count(test.endpoint, "largest_runs_by_body") == 3);
    test.caller.call(test.endpoint, "PUT", "/admin/faults", json::object { { "leaving", true } });
    CHECK(deposit("k3").status == 503);
    CHECK(test.caller.count(test.endpoint, "runs") == 3);
}

// Guards against network faults that have no effect when a scenario enables them.
TEST_CASE("a link relays, delays and closes connections")
{
    TestService test;
    IoThreads threads(1);
    LinkSettings settings;
    settings.target = test.endpoint;
    const Link link(threads, settings);
    const auto fault = [&](const json::object& faults) { CHECK(test.caller.call(link.adminEndpoint(), "PUT", "/admin/faults", faults).status == 200); };
    CHECK(test.caller.get(link.endpoint(), "/inventory").status == 200);
    fault({ { "delay_us", 20'000 } });
    const auto start = monotonicNow();
    CHECK(test.caller.get(link.endpoint(), "/inventory").status == 200);
    CHECK(monotonicNow() - start >= 40ms);
    fault({ { "delay_us", 0 }, { "cut", true } });
    CHECK(test.caller.get(link.endpoint(), "/inventory").status == 0);
    fault({ { "cut", false } });
    CHECK(test.caller.get(link.endpoint(), "/inventory").status == 200);
    threads.stop();
}
