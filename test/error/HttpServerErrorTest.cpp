#include "../HttpTestServer.h"
#include "../RawConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

auto answerOk(HttpExchange& exchange) -> asio::awaitable<void>
{
    co_await exchange.respond(jsonResponse(200, "{}"));
}

/// Sends raw bytes and returns all received bytes until the server closes the connection.
auto sendRaw(const HttpEndpoint& endpoint, const std::string& bytes, bool closeSending) -> std::string
{
    asio::io_context context;
    auto socket = test::connectTo(context, endpoint);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    if (closeSending)
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return test::readUntilClosed(socket);
}

auto isOk(IoThreads& threads, const HttpServer& server) -> bool
{
    const auto response = runOn(threads, 0, threads.client(0).request(server.endpoint(), {}, 2s));
    return response.has_value() && response->status == 200;
}

auto strictSettings() -> HttpServerSettings
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 100;
    settings.maxHeaderBytes = 1'000;
    settings.readTimeout = 100ms;
    settings.idleTimeout = 300ms;
    return settings;
}

}

// Guards against invalid input that is handled as a request or that ends the process.
TEST_CASE("invalid requests get a 4xx response and the server keeps running")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), answerOk);
    CHECK_THAT(sendRaw(server.endpoint(), "nonsense\r\n\r\n", true), Catch::StartsWith("HTTP/1.1 400"));
    CHECK_THAT(sendRaw(server.endpoint(), "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", false), Catch::StartsWith("HTTP/1.1 413"));
    CHECK_THAT(sendRaw(server.endpoint(), "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n", false), Catch::StartsWith("HTTP/1.1 431"));
    CHECK_THAT(sendRaw(server.endpoint(), "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nslow", false), Catch::StartsWith("HTTP/1.1 408"));
    CHECK(sendRaw(server.endpoint(), "", false).empty());
    CHECK(isOk(threads, server));
    threads.stop();
}

// Guards against unforeseen input that ends the process.
TEST_CASE("arbitrary bytes never stop the server")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), answerOk);
    rc::prop("the server answers after any input", [&](const std::string& bytes, bool startsWell) {
        const auto response = sendRaw(server.endpoint(), (startsWell ? "GET / HTTP/1.1\r\n" : "") + bytes, true);
        RC_ASSERT(response.empty() || response.starts_with("HTTP/1.1 4") || response.starts_with("HTTP/1.1 200"));
        RC_ASSERT(isOk(threads, server));
    });
    threads.stop();
}

// Guards against a request that was read and gets no answer because its handler throws or returns without one.
TEST_CASE("a handler that fails before its response gives the caller an error with an unknown outcome")
{
    const auto throws = GENERATE(true, false);
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), [throws](HttpExchange&) -> asio::awaitable<void> {
        if (throws)
            throw std::runtime_error("a fault of the handler");
        co_return;
    });
    const auto response = sendRaw(server.endpoint(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false);
    CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 500"));
    CHECK_THAT(response, Catch::Contains(R"("ran":"unknown")"));
    threads.stop();
}

// Guards against a response that looks complete although its handler failed.
TEST_CASE("a handler that fails after its response has begun truncates it")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), [](HttpExchange& exchange) -> asio::awaitable<void> {
        co_await exchange.startStream(200, {});
        co_await exchange.write("part");
        throw std::runtime_error("a fault of the handler");
    });
    const auto response = sendRaw(server.endpoint(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false);
    CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 200") && Catch::Contains("part"));
    CHECK(response.find("\r\n0\r\n") == std::string::npos);
    threads.stop();
}

// Guards against an error response that its caller can't read, because the server closed the connection while the
// rest of the request was still arriving, and so reset it.
TEST_CASE("the connection of a rejected request is closed without a reset")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), answerOk);
    asio::io_context context;
    auto socket = test::connectTo(context, server.endpoint());
    constexpr std::size_t bodyBytes = 8U << 20U;
    boost::system::error_code code;
    asio::write(socket, asio::buffer("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"), code);
    asio::write(socket, asio::buffer(std::string(bodyBytes, 'x')), code);
    CHECK(code.message() == boost::system::error_code().message());
    const auto response = test::readUntilClosed(socket, code);
    CHECK(code == asio::error::eof);
    CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 413"));
    threads.stop();
}

// Guards against a caller that occupies a connection for long by sending on after its request was rejected.
TEST_CASE("a rejected caller that sends on is disconnected after a bounded time")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), answerOk);
    asio::io_context context;
    auto socket = test::connectTo(context, server.endpoint());
    boost::system::error_code code;
    asio::write(socket, asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n")), code);
    const auto startedAt = monotonicNow();
    // Twice the time for which the server reads on.
    while (!code && monotonicNow() - startedAt < 2s) {
        std::this_thread::sleep_for(20ms);
        asio::write(socket, asio::buffer("x", 1), code);
    }
    CHECK(code);
    threads.stop();
}

// Guards against a request without an answer because its response can't be serialized.
TEST_CASE("a response that can't be serialized becomes an error with an unknown outcome")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), [](HttpExchange& exchange) -> asio::awaitable<void> { co_await exchange.respond(jsonResponse(204, "{}")); });
    const auto response = sendRaw(server.endpoint(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false);
    CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 500"));
    threads.stop();
}

// Guards against the body of an error in the response to HEAD, which its caller reads as the beginning of the next
// response on the connection.
TEST_CASE("the response to HEAD has no body")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), [](HttpExchange& exchange) -> asio::awaitable<void> {
        if (exchange.request().target == "/fault")
            throw std::runtime_error("a fault of the handler");
        co_await exchange.respond(jsonResponse(503, "{\"busy\":1}"));
    });
    const auto received = sendRaw(server.endpoint(), "HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", false);
    const auto second = received.find("HTTP/1.1 503", 1);
    REQUIRE(second != std::string::npos);
    const auto first = received.substr(0, second);
    CHECK_THAT(first, Catch::StartsWith("HTTP/1.1 503") && Catch::Contains("Content-Length: 10") && Catch::EndsWith("\r\n\r\n"));
    CHECK_THAT(received, Catch::EndsWith("{\"busy\":1}"));
    const auto failed = sendRaw(server.endpoint(), "HEAD /fault HTTP/1.1\r\nHost: a\r\n\r\n", false);
    CHECK_THAT(failed, Catch::StartsWith("HTTP/1.1 500") && Catch::EndsWith("\r\n\r\n"));
    threads.stop();
}

// Guards against a caller that waits for the permission to send its body until its request times out.
TEST_CASE("a caller that expects 100-continue gets it before it sends its body")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), answerOk);
    asio::io_context context;
    auto socket = test::connectTo(context, server.endpoint());
    asio::write(socket, asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nConnection: close\r\nContent-Length: 4\r\n\r\n")));
    std::string head;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
    CHECK(head == "HTTP/1.1 100 Continue\r\n\r\n");
    boost::system::error_code code;
    asio::write(socket, asio::buffer("body", 4), code);
    CHECK_THAT(test::readUntilClosed(socket), Catch::StartsWith("HTTP/1.1 200"));
    threads.stop();
}

// Guards against an interim response to callers that don't expect one, and against a body that is asked for although
// the request is rejected.
TEST_CASE("100-continue is only sent where a body is expected and missing")
{
    IoThreads threads(1);
    HttpServer server(threads, strictSettings(), answerOk);
    const auto send = [&](const std::string& start, const std::string& body) { return sendRaw(server.endpoint(), start + "Host: a\r\nConnection: close\r\n\r\n" + body, false); };
    CHECK_THAT(send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 101\r\n", ""), Catch::StartsWith("HTTP/1.1 413"));
    CHECK_THAT(send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n", "body"), Catch::StartsWith("HTTP/1.1 200"));
    CHECK_THAT(send("GET / HTTP/1.1\r\nExpect: 100-continue\r\n", ""), Catch::StartsWith("HTTP/1.1 200"));
    CHECK_THAT(send("POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n", ""), Catch::StartsWith("HTTP/1.1 408"));
    threads.stop();
}

// Guards against a part of a request that escapes the limits: a head that arrives line by line, more header lines than
// allowed, and trailers or chunk extensions, which the parser keeps until they end.
TEST_CASE("each part of a request has a limit that is reported when it is reached")
{
    std::vector<std::string> reached;
    auto settings = strictSettings();
    settings.readTimeout = 5s;
    settings.maxHeaderLines = 50;
    settings.onLimitReached = [&](std::string_view limit) { reached.emplace_back(limit); };
    IoThreads threads(1);
    HttpServer server(threads, settings, answerOk);
    const auto repeat = [](std::string_view text, int count) {
        std::string result;
        for (auto index = 0; index < count; ++index)
            result += text;
        return result;
    };
    const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK_THAT(sendRaw(server.endpoint(), "GET / HTTP/1.1\r\n" + repeat("a:\r\n", 50) + "\r\n", false), Catch::StartsWith("HTTP/1.1 431"));
    CHECK_THAT(sendRaw(server.endpoint(), chunked + "0\r\n" + repeat("a: b\r\n", 2'000), false), Catch::StartsWith("HTTP/1.1 431"));
    CHECK_THAT(sendRaw(server.endpoint(), chunked + "5;" + std::string(12'000, 'x'), false), Catch::StartsWith("HTTP/1.1 431"));
    asio::io_context context;
    auto socket = test::connectTo(context, server.endpoint());
    boost::system::error_code code;
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n")), code);
    for (auto line = 0; line < 40 && !code; ++line) {
        asio::write(socket, asio::buffer("abc: " + std::string(33, 'x') + "\r\n"), code);
        std::this_thread::sleep_for(2ms);
    }
    CHECK_THAT(test::readUntilClosed(socket), Catch::StartsWith("HTTP/1.1 431"));
    CHECK(isOk(threads, server));
    threads.stop();
    CHECK(reached == std::vector<std::string> { "header_lines", "trailers", "trailers", "header_bytes" });
}

// Guards against descriptors that run out, and against unused connections that keep ordinary callers out.
TEST_CASE("connections beyond the limit wait until unused ones are closed")
{
    auto settings = strictSettings();
    settings.idleTimeout = 30s;
    settings.maxConnections = 4;
    IoThreads threads(1);
    HttpServer server(threads, settings, answerOk);
    CHECK(isOk(threads, server));
    asio::io_context context;
    constexpr std::size_t unusedCount = 8;
    std::vector<asio::ip::tcp::socket> unused;
    unused.reserve(unusedCount);
    for (std::size_t index = 0; index < unusedCount; ++index)
        unused.push_back(test::connectTo(context, server.endpoint()));
    CHECK_THAT(sendRaw(server.endpoint(), "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false), Catch::StartsWith("HTTP/1.1 200"));
    // The first connection has carried a request and stays open.
    CHECK(isOk(threads, server));
    threads.stop();
}
