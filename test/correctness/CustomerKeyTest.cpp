#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto customerEntry(std::string name, json::value keys) -> json::object
{
    return { { "name", std::move(name) }, { "apiKeys", std::move(keys) }, { "priority", 1 }, { "ratePerS", 0 }, { "burst", 0 } };
}

/// @return a configuration with a public route and these customers.
auto configurationWith(int version, json::array customers) -> json::object
{
    auto configuration = configurationOf(version);
    auto open = routeOf("open", "/open/", "ledger", "idempotent", 2, false);
    open["public"] = true;
    configuration["routes"].as_array().push_back(std::move(open));
    configuration["tenants"] = std::move(customers);
    return configuration;
}

auto withKey(std::string key) -> std::vector<HttpHeader>
{
    return { { "Authorization", "Bearer " + std::move(key) } };
}

struct CustomerFixture : RouterFixture {
    explicit CustomerFixture(json::array customers = { customerEntry("grocer", json::array { "key-1", "key-2" }), customerEntry("baker", json::array { "key-3" }) })
    {
        platform.put("config", "main", configurationWith(4, std::move(customers)));
        startAndWait();
    }
    ~CustomerFixture() { stop(); }
    CustomerFixture(const CustomerFixture&) = delete;
    auto operator=(const CustomerFixture&) -> CustomerFixture& = delete;

    auto statusOf(std::string target, std::vector<HttpHeader> headers) -> unsigned
    {
        const auto response = call("GET", std::move(target), {}, std::move(headers));
        return response.has_value() ? response->status : 0;
    }
    auto received() const -> HttpRequest { return (plain1.runs() ? plain1 : plain2).lastRequest(); }
};

/// Checks that a backend server has received the customer's name once and no key.
auto checkNames(const HttpRequest& request, std::string_view customer) -> void
{
    CHECK(findHeader(request.headers, "Tenant") == customer);
    CHECK(std::ranges::count_if(request.headers, [](const HttpHeader& header) { return equalHeaderNames(header.name, "Tenant"); }) == 1);
    CHECK_FALSE(findHeader(request.headers, "Authorization"));
}

}

// Guards against a key that reaches a backend server, and against a customer whom the caller names itself.
TEST_CASE("a backend server gets the customer's name and not the key")
{
    CustomerFixture fixture;
    auto headers = withKey("key-2");
    headers.push_back({ "tenant", "baker" });
    headers.push_back({ "TENANT", "" });
    REQUIRE(fixture.statusOf("/read/x", headers) == 200);
    checkNames(fixture.received(), "grocer");
}

// Guards against a key that reaches an engine with the prefill or the decode of a request.
TEST_CASE("engines get the customer's name and not the key")
{
    CustomerFixture fixture;
    const auto response = fixture.streamCall("/resumed/x", { { "AUTHORIZATION", "bearer   key-3" }, { "Tenant", "grocer" } });
    REQUIRE(response.has_value());
    REQUIRE(response->status == 200);
    const auto& decode = fixture.decode1.runs() ? fixture.decode1 : fixture.decode2;
    checkNames(decode.lastRequest(), "baker");
    if (fixture.prefill.prefills() > 0)
        checkNames(fixture.prefill.lastRequest(), "baker");
}

// Guards against a request that runs without a known key, and against a refusal that tells the caller to come back.
TEST_CASE("a request without one known key is refused for good")
{
    CustomerFixture fixture;
    const std::vector<std::vector<HttpHeader>> unknown {
        {},
        withKey(""),
        withKey("key-4"),
        withKey(std::string(8'000, 'k')),
        { { "Authorization", "Basic key-1" } },
        { { "Authorization", "key-1" } },
        { { "Authorization", "Bearer key-1" }, { "authorization", "Bearer key-1" } },
    };
    for (const auto& headers : unknown) {
        const auto response = fixture.call("GET", "/read/x", {}, headers);
        REQUIRE(response.has_value());
        CHECK((response->status == 401 || response->status == 431));
        CHECK_FALSE(findHeader(response->headers, "Retry-After"));
        CHECK(response->body.find("key-") == std::string::npos);
    }
    CHECK(fixture.plain1.requests() + fixture.plain2.requests() == 0);
    CHECK(fixture.statusOf("/nowhere/x", withKey("key-1")) == 404);
}

// Guards against a public route that is closed, or that passes on a key or a customer whom the caller has made up.
TEST_CASE("a public route needs no key")
{
    CustomerFixture fixture;
    const auto key = GENERATE(std::string(), std::string("key-4"), std::string("key-1"));
    auto headers = key.empty() ? std::vector<HttpHeader>() : withKey(key);
    headers.push_back({ "Tenant", "baker" });
    REQUIRE(fixture.statusOf("/open/x", headers) == 200);
    const auto request = fixture.received();
    CHECK_FALSE(findHeader(request.headers, "Authorization"));
    CHECK(findHeader(request.headers, "Tenant") == (key == "key-1" ? std::optional<std::string_view>("grocer") : std::nullopt));
}

// Guards against a withdrawn key that is still accepted, a new one that is not, and an old configuration that brings a
// withdrawn key back.
TEST_CASE("keys change with the configuration")
{
    CustomerFixture fixture;
    REQUIRE(fixture.statusOf("/read/x", withKey("key-1")) == 200);
    fixture.platform.put("config", "main", configurationWith(5, { customerEntry("grocer", json::array { "key-2", "key-5" }) }));
    CHECK(fixture.waitUntil([&] { return fixture.statusOf("/read/x", withKey("key-5")) == 200; }));
    CHECK(fixture.statusOf("/read/x", withKey("key-1")) == 401);
    CHECK(fixture.statusOf("/read/x", withKey("key-3")) == 401);
    fixture.platform.put("config", "main", configurationWith(4, { customerEntry("grocer", json::array { "key-1" }) }));
    fixture.platform.put("config", "main", configurationWith(6, { customerEntry("grocer", json::array { "key-6" }) }));
    CHECK(fixture.waitUntil([&] { return fixture.statusOf("/read/x", withKey("key-6")) == 200; }));
    CHECK(fixture.statusOf("/read/x", withKey("key-1")) == 401);
}

// Guards against an entry that can't be used and that shuts out other customers, lets its own requests run, or prevents
// the configuration from becoming active.
TEST_CASE("an unusable entry of a customer affects that customer only")
{
    auto negative = customerEntry("negative", json::array { "key-5" });
    negative["ratePerS"] = -1;
    auto text = customerEntry("text", json::array { "key-6" });
    text["burst"] = "many";
    auto enormous = customerEntry("enormous", json::array { "key-7" });
    enormous["ratePerS"] = 1e300;
    CustomerFixture fixture({ customerEntry("grocer", json::array { "key-1" }), customerEntry("odd", json::array { "key-4", 7 }), negative, text, enormous,
        customerEntry("bad\r\nname", json::array { "key-8" }), customerEntry("none", "key-9"), json::value(), json::object { { "apiKeys", json::array { "key-10" } } },
        customerEntry("twice", json::array { "key-11" }), customerEntry("thrice", json::array { "key-11", "key-12" }) });
    CHECK(fixture.statusOf("/read/x", withKey("key-1")) == 200);
    for (const auto* key : { "key-4", "key-5", "key-6", "key-7" })
        CHECK(fixture.statusOf("/read/x", withKey(key)) == 503);
    for (const auto* key : { "key-8", "key-9", "key-10", "key-11" })
        CHECK(fixture.statusOf("/read/x", withKey(key)) == 401);
    CHECK(fixture.statusOf("/read/x", withKey("key-12")) == 200);
}

// Guards against a change for deployments without customers, whose servers check the credentials themselves.
TEST_CASE("without customers, credentials are forwarded")
{
    RouterFixture fixture;
    fixture.startAndWait();
    const auto response = fixture.call("GET", "/read/x", {}, { { "Authorization", "Basic abc" }, { "Tenant", "any" } });
    REQUIRE(response.has_value());
    REQUIRE(response->status == 200);
    const auto request = (fixture.plain1.runs() ? fixture.plain1 : fixture.plain2).lastRequest();
    CHECK(findHeader(request.headers, "Authorization") == "Basic abc");
    CHECK(findHeader(request.headers, "Tenant") == "any");
}
