#include "../HttpTestServer.h"
#include "../RawConnection.h"

#include "AwaitToken.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <mutex>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A copy of a ConnectionClose that outlives its request.
struct Close {
    CloseReason reason;
    std::string unansweredTarget;
    bool hasStarted;
    std::string detail;
};

/// Responds as the target of the request says.
auto answer(HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto target = exchange.request().target;
    if (target == "/throw")
        throw std::runtime_error("a fault of the handler");
    if (target == "/wait") {
        asio::steady_timer timer(exchange.executor(), 5s);
        exchange.onClose([&] { timer.cancel(); });
        boost::system::error_code ignored;
        co_await timer.async_wait(awaitInto(ignored));
        co_return;
    }
    if (target == "/large") {
        co_await exchange.respond(jsonResponse(200, std::string(32U << 20U, 'x')));
        co_return;
    }
    if (target == "/stream" || target == "/throw-late") {
        co_await exchange.startStream(200, {});
        co_await exchange.write("part");
        if (target == "/throw-late")
            throw std::runtime_error("a late fault of the handler");
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(jsonResponse(200, "{}"));
}

struct Fixture {
    Fixture() = default;
    ~Fixture() { threads.stop(); }
    Fixture(const Fixture&) = delete;
    auto operator=(const Fixture&) -> Fixture& = delete;

    auto settings() -> HttpServerSettings
    {
        HttpServerSettings settings;
        settings.maxBodyBytes = 100;
        settings.readTimeout = 100ms;
        settings.idleTimeout = 200ms;
        settings.writeTimeout = 200ms;
        settings.onConnectionClosed = [this](const ConnectionClose& close) {
            const std::lock_guard guard(lock);
            closes.push_back({ close.reason, close.unansweredRequest ? close.unansweredRequest->target : "", close.hasStarted, close.detail });
        };
        return settings;
    }

    auto connect() -> asio::ip::tcp::socket
    {
        return test::connectTo(context, server.endpoint());
    }

    /// Sends the bytes and returns what is received until the server closes the connection.
    auto exchange(const std::string& bytes) -> std::string
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(bytes));
        return test::readUntilClosed(socket);
    }

    auto get(const std::string& target, const std::string& fields = {}) -> std::string
    {
        return exchange("GET " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
    }

    /// @return the only close that the server has reported.
    auto onlyClose() -> Close
    {
        const auto end = monotonicNow() + 5s;
        while (monotonicNow() < end) {
            {
                const std::lock_guard guard(lock);
                if (!closes.empty()) {
                    REQUIRE(closes.size() == 1);
                    return closes.front();
                }
            }
            std::this_thread::sleep_for(5ms);
        }
        FAIL("no close was reported");
        return {};
    }

    std::mutex lock;
    std::vector<Close> closes;
    asio::io_context context;
    IoThreads threads { 1 };
    HttpServer server { threads, settings(), answer };
};

}

// Guards against a closed connection that operators can't explain.
TEST_CASE("the reason of each close without a fault is reported")
{
    Fixture fixture;
    auto expected = CloseReason::IdleTimeout;
    SECTION("idle") { fixture.get("/"); }
    SECTION("asked by the caller")
    {
        expected = CloseReason::CallerAskedForClose;
        fixture.get("/", "Connection: close\r\n");
    }
    SECTION("drain of an idle connection")
    {
        expected = CloseReason::Drain;
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        std::this_thread::sleep_for(50ms);
        fixture.server.closeIdleConnections();
        CHECK_THAT(test::readUntilClosed(socket), Catch::StartsWith("HTTP/1.1 200"));
    }
    SECTION("drain of a connection without a request")
    {
        expected = CloseReason::Drain;
        auto socket = fixture.connect();
        std::this_thread::sleep_for(50ms);
        fixture.server.closeIdleConnections();
        CHECK(test::readUntilClosed(socket).empty());
    }
    SECTION("drain after a response")
    {
        expected = CloseReason::Drain;
        fixture.server.closeAfterResponses();
        fixture.get("/");
    }
    SECTION("closed by the caller")
    {
        expected = CloseReason::CallerClosed;
        fixture.connect().close();
    }
    SECTION("oversized body")
    {
        expected = CloseReason::RequestError;
        fixture.get("/", "Content-Length: 101\r\n");
    }
    const auto close = fixture.onlyClose();
    CHECK(name(close.reason) == name(expected));
    CHECK(close.unansweredTarget.empty());
}

// Guards against a request that was read and ends without a complete response, and nothing says why.
TEST_CASE("the close of a connection names the request that got no complete response")
{
    Fixture fixture;
    auto expected = CloseReason::Aborted;
    std::string target = "/stream";
    auto hasStarted = true;
    SECTION("aborted") { fixture.get(target); }
    SECTION("closed by the caller")
    {
        expected = CloseReason::CallerClosed;
        target = "/wait";
        hasStarted = false;
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n", 31));
        std::this_thread::sleep_for(50ms);
    }
    SECTION("not accepted by the caller")
    {
        expected = CloseReason::WriteFailed;
        target = "/large";
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer("GET /large HTTP/1.1\r\nHost: a\r\n\r\n", 32));
        CHECK_FALSE(fixture.onlyClose().detail.empty());
    }
    SECTION("exception")
    {
        expected = CloseReason::Exception;
        target = "/throw-late";
        fixture.get(target);
        CHECK(fixture.onlyClose().detail == "a late fault of the handler");
    }
    const auto close = fixture.onlyClose();
    CHECK(name(close.reason) == name(expected));
    CHECK(close.unansweredTarget == target);
    CHECK(close.hasStarted == hasStarted);
}
