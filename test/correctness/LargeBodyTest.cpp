#include "../LogSearch.h"
#include "../RawBackend.h"
#include "../RawConnection.h"
#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::size_t bodyBytes = 50'000;

/// A router with room for the body of one large request, whose plain server is given by the test.
struct LargeBodyRouter : RouterFixture {
    explicit LargeBodyRouter(RawBackend::Script script)
        : backend(threads, std::move(script))
    {
        auto configuration = configurationOf(4);
        configuration["limits"].as_object()["maxBodyBytes"] = 2 * bodyBytes;
        platform.put("config", "main", std::move(configuration));
        for (const auto* id : { "plain-1", "plain-2" })
            platform.put("servers", id, serverEntry(backend.endpoint(), "ledger", {}));
        auto settings = routerSettings("entry-1", platform.endpoint());
        settings.retry.isShared = false;
        settings.entry.limits.memoryBytes = 160'000;
        router.emplace(settings.entry, platform::makePlatformAdapter(settings));
        REQUIRE(waitUntil([&] { return isReady(); }));
        router->log().setMinimumLevel(LogLevel::Info);
    }
    ~LargeBodyRouter() { stop(); }

    RawBackend backend;
};

}

// Guards against an instance that exceeds its memory because many callers send large bodies at once, and against a request
// that runs although it was refused as not run.
TEST_CASE("a request for whose body there is no room is refused as not run")
{
    LargeBodyRouter fixture([](const RawRequest& request) { return RawReply { validResponse(request) }; });
    boost::asio::io_context context;
    auto slow = connectTo(context, fixture.router->endpoint());
    const auto half = std::string(bodyBytes / 2, 'x');
    boost::asio::write(slow, boost::asio::buffer("POST /post/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: slow\r\nConnection: close\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + half));
    std::this_thread::sleep_for(50ms);
    const auto refused = fixture.call("POST", "/post/y", std::string(bodyBytes, 'y'));
    REQUIRE(refused.has_value());
    CHECK(refused->status == 503);
    CHECK(findHeader(refused->headers, "Retry-After"));
    CHECK(firstLogged(fixture.router->log(), "request_refused", "reason") == "overloaded");
    CHECK(firstLogged(fixture.router->log(), "request_refused", "request") == "request-1");
    CHECK(fixture.backend.calls() == 0);
    boost::asio::write(slow, boost::asio::buffer(half));
    CHECK(readUntilClosed(slow).starts_with("HTTP/1.1 200"));
    CHECK(fixture.backend.calls() == 1);
    CHECK(fixture.call("POST", "/post/z", std::string(bodyBytes, 'z'))->status == 200);
}

// Guards against a body that is lost or changed where several attempts share it.
TEST_CASE("all attempts of a request send its body")
{
    const auto body = std::string(bodyBytes, 'x') + "end";
    std::atomic<int> whole { 0 };
    LargeBodyRouter fixture([&](const RawRequest& request) {
        whole += request.body == body;
        // The first attempt of each request breaks off.
        return RawReply { whole % 2 ? "HTTP" : validResponse(request), whole % 2 == 1 };
    });
    for (auto call = 1; call <= 2; ++call) {
        const auto response = fixture.call("GET", "/read/x", body);
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        CHECK(whole == 2 * call);
    }
}
