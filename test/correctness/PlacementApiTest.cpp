#include "../EntryHarness.h"
#include "../FakeRecords.h"

#include "Pause.h"
#include "PlacementApi.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <set>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr std::string_view callQuery = R"({"service":"coop-ledger","kind":"inventory","customer":"members"})";

/// Two servers of the plain service that respond with their name, the second one in the zone of the instance as well.
struct PlainServers {
    std::atomic<bool> holdsCalls { false };
    IoThreads threads { 2 };
    HttpServer first { threads, {}, [this](HttpExchange& exchange) { return respond(exchange, "ledger-1"); } };
    HttpServer second { threads, {}, [this](HttpExchange& exchange) { return respond(exchange, "ledger-2"); } };

    PlainServers() = default;
    ~PlainServers() { threads.stop(); }
    PlainServers(const PlainServers&) = delete;
    auto operator=(const PlainServers&) -> PlainServers& = delete;

    auto respond(HttpExchange& exchange, std::string name) -> boost::asio::awaitable<void>
    {
        while (holdsCalls)
            co_await pause(2ms);
        co_await exchange.respond(jsonResponse(200, name));
    }
};

auto explain(EntryHarness& harness, std::string_view query) -> HttpResponse
{
    return explainPlacement(harness.context(), harness.services(), query);
}

auto decisionOf(EntryHarness& harness, std::string_view query) -> json::object
{
    const auto response = explain(harness, query);
    CAPTURE(response.body);
    REQUIRE(response.status == 200);
    return json::parse(response.body).at("decision").as_object();
}

auto lookUp(EntryHarness& harness) -> HttpResponse
{
    return *harness.call({ "GET", "/services/coop-ledger/items", {}, {} });
}

auto callsInFlight(EntryHarness& harness) -> std::uint32_t
{
    std::uint32_t calls = 0;
    for (const auto& backend : harness.services().plainService("coop-ledger")->backends())
        calls += backend.inFlight;
    return calls;
}

}

// Guards against an explained server that differs from the one that gets the next call, and against a query that takes a slot
// or moves the turn among equal servers.
TEST_CASE("the explained server gets the next call")
{
    FakeRecords records;
    PlainServers servers;
    EntryHarness harness { records };
    harness.addBackend("ledger-1", "ledger", servers.first.endpoint());
    harness.addBackend("ledger-2", "ledger", servers.second.endpoint());
    std::set<std::string> seen;
    for (int call = 0; call < 8; ++call) {
        const auto decision = decisionOf(harness, callQuery);
        CHECK(decisionOf(harness, callQuery) == decision);
        CHECK(callsInFlight(harness) == 0);
        REQUIRE(decision.at("action") == "call");
        CHECK(lookUp(harness).body == decision.at("server").as_string());
        seen.emplace(decision.at("server").as_string());
    }
    CHECK(seen.size() == 2);
}

// Guards against a call that is explained as sent although all slots are taken, and against candidates without the reason.
TEST_CASE("a call to full plain servers is explained as refused")
{
    FakeRecords records;
    PlainServers servers;
    servers.holdsCalls = true;
    EntryHarness harness { records };
    harness.addBackend("ledger-1", "ledger", servers.first.endpoint());
    std::vector<std::future<HttpResponse>> held;
    constexpr std::size_t slots = 8;
    held.reserve(slots);
    for (std::size_t call = 0; call < slots; ++call)
        held.push_back(std::async(std::launch::async, [&] { return lookUp(harness); }));
    REQUIRE(waitFor([&] { return callsInFlight(harness) == slots; }));
    const auto report = json::parse(explain(harness, callQuery).body);
    CHECK(report.at("decision").at("action") == "refuse");
    CHECK(report.at("decision").at("reason") == "no_backend");
    CHECK(report.at("candidates").at(0).at("obstacle") == "slots");
    const auto refused = lookUp(harness);
    CHECK(refused.status == 503);
    CHECK_THAT(refused.body, Catch::Contains("no_backend"));
    servers.holdsCalls = false;
    for (auto& call : held)
        call.get();
}

// Guards against an explanation that differs from the request path where a call waits for a slot, and against a query that
// takes a place among the calls that wait or counts as one.
TEST_CASE("a call that waits for a slot is explained as waiting")
{
    FakeRecords records;
    PlainServers servers;
    EntryHarness harness { records };
    harness.addBackend("ledger-1", "ledger", servers.first.endpoint());
    constexpr std::size_t slots = 8;
    // Without durations of earlier calls, no slot is expected.
    for (std::size_t call = 0; call < slots; ++call)
        CHECK(lookUp(harness).status == 200);
    servers.holdsCalls = true;
    std::vector<std::future<HttpResponse>> calls;
    calls.reserve(slots + 1);
    for (std::size_t call = 0; call < slots; ++call)
        calls.push_back(std::async(std::launch::async, [&] { return lookUp(harness); }));
    REQUIRE(waitFor([&] { return callsInFlight(harness) == slots; }));
    const auto& slotWaits = harness.context().metrics.service("coop-ledger")->slotWaits;
    for (int query = 0; query < 2; ++query) {
        const auto report = json::parse(explain(harness, callQuery).body);
        CHECK(report.at("decision").at("action") == "wait");
        CHECK(report.at("state").at("waiting") == 0);
    }
    CHECK(slotWaits == 0);
    calls.push_back(std::async(std::launch::async, [&] { return lookUp(harness); }));
    CHECK(waitFor([&] { return slotWaits == 1; }));
    servers.holdsCalls = false;
    for (auto& call : calls)
        call.get();
}

// Guards against a query that is answered from wrong or missing data instead of with an error.
TEST_CASE("a query that can't be answered gets a typed error")
{
    FakeRecords records;
    EntryHarness harness { records };
    const std::vector<std::tuple<std::string_view, unsigned, std::string_view>> queries {
        { "{", 400, "invalid_query" },
        { "{}", 400, "invalid_query" },
        { R"({"service":"coop-ledger","host":"a.example","path":"/"})", 400, "invalid_query" },
        { R"({"service":"coop-ledger","prompt":"text"})", 400, "invalid_query" },
        { R"({"service":"coop-ledger","deadline_ms":"5s"})", 400, "invalid_query" },
        { R"({"host":"a.example","path":"/x"})", 404, "unknown_route" },
        { R"({"service":"none"})", 404, "unknown_service" },
        { R"({"service":"appraiser-llm","kind":"none"})", 404, "unknown_kind" },
        { R"({"service":"appraiser-llm","customer":"none"})", 404, "unknown_customer" },
        { R"({"service":"appraiser-llm","prompt_tokens":5})", 503, "no_backend" },
        { callQuery, 503, "no_backend" },
        { R"({"host":"B.example","path":"/x"})", 400, "customer_required" },
        { R"({"host":"b.example","path":"/x","customer":"broken"})", 503, "customer_unusable" },
        { R"({"host":"b.example","path":"/x","customer":"members"})", 503, "no_backend" },
    };
    auto configuration = *entryConfiguration();
    configuration.requiresCustomerKey = true;
    configuration.customers.push_back({ .name = "broken", .isUsable = false });
    configuration.routes = { { .name = "ledger", .host = "b.example", .pathPrefix = "/", .kind = "inventory", .targets = { { "coop-ledger" } } } };
    harness.services().updateConfiguration(std::make_shared<const Configuration>(std::move(configuration)));
    for (const auto& [query, status, type] : queries) {
        const auto response = explain(harness, query);
        CAPTURE(query, response.body);
        CHECK(response.status == status);
        CHECK_THAT(response.body, Catch::Contains('"' + std::string(type) + '"'));
    }
}
