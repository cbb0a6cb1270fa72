#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto customerEntry(std::string name, const std::string& key, json::object quota) -> json::object
{
    json::object entry { { "name", std::move(name) }, { "apiKeys", json::array { key } } };
    for (auto& field : quota)
        entry[field.key()] = std::move(field.value());
    return entry;
}

auto retryDelay(const HttpResponse& response) -> std::chrono::duration<double>
{
    return std::chrono::duration<double>(std::stod(std::string(findHeader(response.headers, "Retry-After").value_or("0"))));
}

/// A router with a customer for 1 request a second, one for 500 tokens a second, and one without a quota.
struct QuotaFixture : RouterFixture {
    QuotaFixture()
    {
        auto configuration = configurationOf(4);
        configuration["tenants"] = json::array {
            customerEntry("caller", "key-1", { { "ratePerS", 1 }, { "burst", 1 } }),
            customerEntry("reader", "key-2", { { "ratePerS", 500 }, { "burst", 600 }, { "unit", "token_stream" }, { "uncachedTokens", 500 } }),
            customerEntry("free", "key-3", { { "burst", 1 } }),
        };
        platform.put("config", "main", std::move(configuration));
        startAndWait();
    }
    ~QuotaFixture() { stop(); }
    QuotaFixture(const QuotaFixture&) = delete;
    auto operator=(const QuotaFixture&) -> QuotaFixture& = delete;

    auto read(const std::string& key, std::vector<HttpHeader> headers = {}) -> HttpResponse
    {
        headers.push_back({ "Authorization", "Bearer " + key });
        auto response = call("GET", "/read/x", {}, std::move(headers));
        REQUIRE(response.has_value());
        return *response;
    }

    /// Returns at the times that the refusals name.
    auto waitUntilGranted(const std::string& key, const std::vector<HttpHeader>& headers = {}) -> void
    {
        REQUIRE(waitUntil([&] {
            const auto response = read(key, headers);
            if (response.status != 200)
                std::this_thread::sleep_for(retryDelay(response));
            return response.status == 200;
        }));
    }
};

}

// Guards against a quota that does not limit, a refusal without the time to return, and a time that is too short.
TEST_CASE("a customer beyond its quota is refused until the named time")
{
    QuotaFixture fixture;
    fixture.waitUntilGranted("key-1");
    const auto before = fixture.plain1.requests() + fixture.plain2.requests();
    const auto refused = fixture.read("key-1");
    REQUIRE(refused.status == 429);
    const auto delay = retryDelay(refused);
    CHECK(delay > 0s);
    CHECK(delay <= 1s);
    CHECK(fixture.plain1.requests() + fixture.plain2.requests() == before);
    std::this_thread::sleep_for(delay);
    CHECK(fixture.read("key-1").status == 200);
}

// Guards against a quota of one customer that limits others.
TEST_CASE("a customer without a quota is not limited")
{
    QuotaFixture fixture;
    for (int count = 0; count < 30; ++count)
        CHECK(fixture.read("key-3").status == 200);
}

// Guards against tokens that are not counted: those stated, those of a request that states none, and numbers that overflow.
TEST_CASE("a quota in tokens counts the tokens of requests")
{
    QuotaFixture fixture;
    fixture.waitUntilGranted("key-2", { { "Token-Counts", "10,10" } });
    CHECK(fixture.read("key-2", { { "Token-Counts", "99999999999999999999,5" } }).status == 429);
    std::this_thread::sleep_for(1300ms);
    CHECK(fixture.read("key-2", { { "Token-Counts", "250,250" } }).status == 200);
    CHECK(fixture.read("key-2", { { "Token-Counts", "250,250" } }).status == 429);
    std::this_thread::sleep_for(1300ms);
    CHECK(fixture.read("key-2").status == 200);
    const auto refused = fixture.read("key-2");
    REQUIRE(refused.status == 429);
    CHECK(retryDelay(refused) > 100ms);
}

// Guards against an amount that is lost when a request is refused as not run: the customer would be refused below its
// quota while no server can run its requests.
TEST_CASE("a request that is refused as not run gives its amount back")
{
    QuotaFixture fixture;
    fixture.waitUntilGranted("key-1");
    for (const auto* server : { &fixture.plain1, &fixture.plain2 })
        fixture.registerServer(*server, "ledger", {}, "draining");
    REQUIRE(fixture.waitUntil([&] { return fixture.read("key-3").status == 503; }));
    std::this_thread::sleep_for(1100ms);
    for (int count = 0; count < 5; ++count)
        CHECK(fixture.read("key-1").status == 503);
}
