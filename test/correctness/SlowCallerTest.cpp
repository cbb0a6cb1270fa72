#include "../HttpTestServer.h"
#include "../RawConnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

// Guards against an answer that is cut because its caller pauses while it reads.
TEST_CASE("an answer outlasts a pause of a caller that reads it")
{
    constexpr std::size_t bodyBytes = 16U << 20U;
    IoThreads threads { 1 };
    HttpServerSettings settings;
    settings.tcpUserTimeout = 1s;
    HttpServer server(threads, settings, [](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse response { 200, {}, std::string(bodyBytes, 'x') };
        co_await exchange.respond(std::move(response));
    });
    asio::io_context context;
    asio::ip::tcp::socket caller(context, asio::ip::tcp::v4());
    constexpr int receiveBufferBytes = 32'768;
    caller.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    caller.connect({ asio::ip::make_address("127.0.0.1"), server.endpoint().port });
    asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
    std::this_thread::sleep_for(2'500ms);
    boost::system::error_code code;
    const auto received = readUntilClosed(caller, code);
    CHECK(code == asio::error::eof);
    CHECK(received.size() > bodyBytes);
    threads.stop();
}

// Guards against an answer that is cut because its caller pauses when the server has written all of it to the kernel, and
// the connection waits for the next request.
TEST_CASE("the end of an answer on a kept connection outlasts a pause of its caller")
{
    constexpr std::size_t bodyBytes = 512U << 10U;
    IoThreads threads { 1 };
    HttpServerSettings settings;
    settings.tcpUserTimeout = 1s;
    HttpServer server(threads, settings, [](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse response { 200, {}, std::string(bodyBytes, 'x') };
        co_await exchange.respond(std::move(response));
    });
    asio::io_context context;
    asio::ip::tcp::socket caller(context, asio::ip::tcp::v4());
    constexpr int receiveBufferBytes = 32'768;
    caller.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    caller.connect({ asio::ip::make_address("127.0.0.1"), server.endpoint().port });
    asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
    std::this_thread::sleep_for(2'500ms);
    std::string received;
    boost::system::error_code code;
    const auto headerBytes = asio::read_until(caller, asio::dynamic_buffer(received), "\r\n\r\n", code);
    REQUIRE(!code);
    asio::read(caller, asio::dynamic_buffer(received), asio::transfer_exactly(headerBytes + bodyBytes - received.size()), code);
    CHECK(!code);
    CHECK(received.size() == headerBytes + bodyBytes);
    threads.stop();
}

// Guards against a request that is closed or refused because the limits fall while its bytes arrive.
TEST_CASE("a request is read under the limits that held when it began")
{
    IoThreads threads { 1 };
    HttpServer server(threads, {}, [](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse response { 200, {}, std::to_string(exchange.request().body.size()) };
        co_await exchange.respond(std::move(response));
    });
    asio::io_context context;
    auto caller = connectTo(context, server.endpoint());
    asio::write(caller, asio::buffer(std::string_view("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n")));
    std::this_thread::sleep_for(100ms);
    HttpServerSettings lower;
    lower.maxHeaderBytes = 16;
    lower.maxBodyBytes = 10;
    lower.readTimeout = 50ms;
    lower.idleTimeout = 50ms;
    server.updateLimits(lower);
    std::this_thread::sleep_for(200ms);
    asio::write(caller, asio::buffer("Field: value\r\n\r\n" + std::string(1'000, 'x')));
    const auto received = readUntilClosed(caller);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.ends_with("1000"));
    threads.stop();
}

// Guards against 408 for a request whose rest has arrived while the process was paused beyond the read timeout.
TEST_CASE("a request whose rest arrives during a pause of the process is answered")
{
    const std::size_t bodyBytes = GENERATE(10U, 60'000U);
    IoThreads threads { 1 };
    HttpServerSettings settings;
    settings.readTimeout = 200ms;
    HttpServer server(threads, settings, [](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse response { 200, {}, std::to_string(exchange.request().body.size()) };
        co_await exchange.respond(std::move(response));
    });
    asio::io_context context;
    auto caller = connectTo(context, server.endpoint());
    const auto header = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n";
    asio::write(caller, asio::buffer(header));
    std::this_thread::sleep_for(50ms);
    asio::post(threads.context(0), [] { std::this_thread::sleep_for(500ms); });
    std::this_thread::sleep_for(50ms);
    asio::write(caller, asio::buffer("\r\n" + std::string(bodyBytes, 'x')));
    const auto received = readUntilClosed(caller);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.ends_with(std::to_string(bodyBytes)));
    threads.stop();
}
