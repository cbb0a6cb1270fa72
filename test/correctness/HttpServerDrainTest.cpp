#include "../HttpTestServer.h"
#include "../RawConnection.h"

#include "AwaitToken.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <vector>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Responds, except that `/hold` and `/hold-stream` run for 1 s first, the latter after a part of its response.
auto answer(HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto target = exchange.request().target;
    const auto isStream = target == "/hold-stream";
    if (isStream) {
        co_await exchange.startStream(200, {});
        co_await exchange.write("part");
    }
    if (target.starts_with("/hold")) {
        asio::steady_timer timer(exchange.executor(), 1s);
        boost::system::error_code ignored;
        co_await timer.async_wait(awaitInto(ignored));
    }
    if (isStream)
        co_await exchange.finishStream();
    else
        co_await exchange.respond(jsonResponse(200, "{}"));
}

struct Fixture {
    explicit Fixture(const HttpServerSettings& serverSettings = {})
        : settings(serverSettings)
    {
    }
    ~Fixture() { threads.stop(); }
    Fixture(const Fixture&) = delete;
    auto operator=(const Fixture&) -> Fixture& = delete;

    auto connect(const std::string& bytes) -> asio::ip::tcp::socket
    {
        auto socket = test::connectTo(context, server.endpoint());
        asio::write(socket, asio::buffer(bytes));
        return socket;
    }

    auto waitForActive(std::size_t count) -> bool
    {
        const auto end = monotonicNow() + 500ms;
        while (server.activeExchanges() != count) {
            if (monotonicNow() > end)
                return false;
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }

    /// Blocks the I/O thread in place of a process that is paused or busy.
    auto block() -> void
    {
        isBlocking = true;
        asio::post(threads.context(0), [this] {
            isBlocked = true;
            while (isBlocking)
                std::this_thread::sleep_for(1ms);
            isBlocked = false;
        });
        while (!isBlocked)
            std::this_thread::sleep_for(1ms);
    }

    asio::io_context context;
    const HttpServerSettings settings;
    std::atomic<bool> isBlocked { false };
    std::atomic<bool> isBlocking { false };
    IoThreads threads { 1 };
    HttpServer server { threads, settings, answer };
};

}

// Guards against a process that exits while a request is being read, so that its caller gets no answer.
TEST_CASE("a request of which a part has arrived is active and is answered during a drain")
{
    Fixture fixture;
    auto socket = fixture.connect("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo");
    REQUIRE(fixture.waitForActive(1));
    fixture.server.stopAccepting();
    fixture.server.closeIdleConnections();
    asio::write(socket, asio::buffer("dy", 2));
    CHECK_THAT(test::readUntilClosed(socket), Catch::StartsWith("HTTP/1.1 200"));
    CHECK(fixture.waitForActive(0));
}

// Guards against a process that exits while a handler runs, so that a request that was read gets no answer.
TEST_CASE("an open exchange is answered with an unknown outcome when it is ended")
{
    Fixture fixture;
    auto socket = fixture.connect("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.waitForActive(1));
    fixture.server.endOpenExchanges();
    // The handler still runs, but nobody waits for it.
    CHECK(fixture.waitForActive(0));
    const auto response = test::readUntilClosed(socket);
    CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 500"));
    CHECK_THAT(response, Catch::Contains(R"("ran":"unknown")") && Catch::Contains("Connection: close"));
    CHECK(response.find("HTTP/1.1 200") == std::string::npos);
    CHECK(fixture.server.endedExchanges() == 1);
}

// Guards against a stream that looks complete although it was ended.
TEST_CASE("an open stream is truncated when it is ended")
{
    Fixture fixture;
    auto socket = fixture.connect("GET /hold-stream HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.waitForActive(1));
    std::this_thread::sleep_for(50ms);
    fixture.server.endOpenExchanges();
    CHECK(fixture.waitForActive(0));
    const auto response = test::readUntilClosed(socket);
    CHECK_THAT(response, Catch::Contains("part"));
    CHECK(response.find("\r\n0\r\n") == std::string::npos);
}

// Guards against a request that is reset although it has arrived whole, because the process was paused until its
// connection was to be closed. The I/O thread is blocked in place of the process.
TEST_CASE("a request that has arrived before an idle connection is closed is answered")
{
    const auto isDraining = GENERATE(false, true);
    CAPTURE(isDraining);
    Fixture fixture(HttpServerSettings { .idleTimeout = 200ms });
    // Answered requests leave a wait for the close of the connection behind, which changes the order of events.
    auto socket = fixture.connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(50ms);
    fixture.block();
    if (isDraining) {
        fixture.server.closeIdleConnections();
        // Otherwise the process could exit before it has found the request.
        CHECK(fixture.server.activeExchanges() == 1);
    }
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
    std::this_thread::sleep_for(300ms);
    fixture.isBlocking = false;
    boost::system::error_code code;
    const auto received = test::readUntilClosed(socket, code);
    CHECK(code == asio::error::eof);
    const auto second = received.find("HTTP/1.1 200", 1);
    CHECK(second != std::string::npos);
    CHECK(fixture.waitForActive(0));
}

// Guards against a connection that is reset because it waited in the listen queue when the server stopped accepting,
// although its request had arrived.
TEST_CASE("connections in the listen queue are accepted and answered when the server stops accepting")
{
    Fixture fixture;
    fixture.block();
    constexpr std::size_t connections = 3;
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t index = 0; index < connections; ++index)
        sockets.push_back(fixture.connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    fixture.server.stopAccepting();
    fixture.server.closeIdleConnections();
    // Otherwise the process could exit before it has found the connections.
    CHECK(fixture.server.activeExchanges() > 0);
    fixture.isBlocking = false;
    for (auto& socket : sockets) {
        boost::system::error_code code;
        const auto response = test::readUntilClosed(socket, code);
        CHECK(code == asio::error::eof);
        CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 200") && Catch::Contains("Connection: close"));
    }
    CHECK(fixture.waitForActive(0));
}

// Guards against a new connection that is closed while its first request is on the way, so that a caller that the load
// balancer has just sent gets no answer.
TEST_CASE("a new connection is not closed before its first request has had time to arrive")
{
    Fixture fixture;
    auto socket = fixture.connect("");
    auto unused = fixture.connect("");
    std::this_thread::sleep_for(20ms);
    fixture.server.stopAccepting();
    fixture.server.closeIdleConnections();
    std::this_thread::sleep_for(100ms);
    CHECK(fixture.server.activeExchanges() == 2);
    boost::system::error_code code;
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")), code);
    CHECK_THAT(test::readUntilClosed(socket, code), Catch::StartsWith("HTTP/1.1 200"));
    CHECK(code == asio::error::eof);
    // A connection on which nothing arrives does not delay the end of the process for long.
    std::this_thread::sleep_for(500ms);
    CHECK(fixture.server.activeExchanges() == 0);
    CHECK(test::readUntilClosed(unused).empty());
}

// Guards against a response that its caller loses, because the next request was in the receive buffer when the server
// closed the connection, and so reset it.
TEST_CASE("a connection is closed without a reset although a further request has arrived")
{
    Fixture fixture;
    auto socket = fixture.connect("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.waitForActive(1));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.server.closeAfterResponses();
    boost::system::error_code code;
    const auto response = test::readUntilClosed(socket, code);
    CHECK(code == asio::error::eof);
    CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 200") && Catch::Contains("Connection: close"));
    CHECK(response.find("HTTP/1.1 200", 1) == std::string::npos);
}
