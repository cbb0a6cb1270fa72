#include "../SilentLink.h"
#include "../BlockingServer.h"
#include "../HttpTestServer.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto userTimeout = 2s;
constexpr std::size_t largeBodyBytes = 16U << 20U;

/// Reads a request whose body has this size, as far as it arrives.
auto readBody(asio::ip::tcp::socket& socket, std::string received, std::size_t size) -> void
{
    boost::system::error_code code;
    asio::read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(size - received.size()), code);
}

auto answer(asio::ip::tcp::socket& socket) -> void
{
    boost::system::error_code code;
    asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")), code);
}

auto callOptions(Duration timeout) -> HttpCallOptions
{
    HttpCallOptions options;
    options.timeout = timeout;
    options.mayReuse = true;
    options.outlastsSilence = true;
    return options;
}

auto clientSettings() -> HttpClientSettings
{
    HttpClientSettings settings;
    settings.tcpUserTimeout = userTimeout;
    return settings;
}

auto post(IoThreads& threads, const BlockingServer& server, std::size_t bodyBytes, Duration timeout = 10s) -> HttpResult<HttpResponse>
{
    HttpRequest request { .method = "POST", .target = "/", .body = std::string(bodyBytes, 'x') };
    return runOn(threads, 0, threads.client(0).request(server.endpoint(), std::move(request), callOptions(timeout)));
}

}

// Guards against a call that fails because its server, which works on it, is silent for a second.
TEST_CASE("a running call outlasts a silence of its link")
{
    IoThreads threads(1, clientSettings());
    BlockingServer server(1, [](asio::ip::tcp::socket& socket) {
        readHeader(socket);
        {
            const SilentLink silence(socket);
            std::this_thread::sleep_for(1'300ms);
        }
        std::this_thread::sleep_for(1'200ms);
        answer(socket);
    });
    const auto response = post(threads, server, 0);
    REQUIRE(response.has_value());
    CHECK(response->body == "done");
    threads.stop();
}

// Guards against a call that fails because its link is silent while the request is sent, and the next retransmission
// comes later than the user timeout.
TEST_CASE("a request outlasts a silence of its link that begins before it is sent")
{
    IoThreads threads(1, clientSettings());
    BlockingServer server(1, [](asio::ip::tcp::socket& socket) {
        readHeader(socket);
        {
            const SilentLink silence(socket);
            answer(socket);
            std::this_thread::sleep_for(1'700ms);
        }
        readHeader(socket);
        answer(socket);
    });
    REQUIRE(post(threads, server, 0).has_value());
    const auto response = post(threads, server, 0);
    REQUIRE(response.has_value());
    CHECK(response->body == "done");
    threads.stop();
}

// Guards against a call that fails because its server pauses while it reads a long body.
TEST_CASE("a request outlasts a pause of a server that reads it")
{
    IoThreads threads(1, clientSettings());
    BlockingServer server(1, [](asio::ip::tcp::socket& socket) {
        auto received = readHeader(socket);
        std::this_thread::sleep_for(2'700ms);
        readBody(socket, std::move(received), largeBodyBytes);
        answer(socket);
    });
    const auto response = post(threads, server, largeBodyBytes);
    REQUIRE(response.has_value());
    CHECK(response->body == "done");
    threads.stop();
}

// Guards against a call that waits until its timeout for a server that is gone.
TEST_CASE("a running call ends when its link stays silent")
{
    IoThreads threads(1, clientSettings());
    BlockingServer server(1, [](asio::ip::tcp::socket& socket) {
        readHeader(socket);
        const SilentLink silence(socket);
        std::this_thread::sleep_for(8s);
    });
    const auto startedAt = monotonicNow();
    const auto response = post(threads, server, 0, 20s);
    CHECK(monotonicNow() - startedAt < 8s);
    REQUIRE(response.has_error());
    CHECK(response.error().kind == HttpErrorKind::ConnectionLost);
    threads.stop();
}

// Guards against a call that is sent on an idle connection which has been silent for longer than the user timeout.
TEST_CASE("an idle connection whose link is silent is not reused")
{
    IoThreads threads(1, clientSettings());
    BlockingServer server(2, [](asio::ip::tcp::socket& socket) {
        readHeader(socket);
        answer(socket);
        std::this_thread::sleep_for(50ms);
        const SilentLink silence(socket);
        std::this_thread::sleep_for(4s);
    });
    REQUIRE(post(threads, server, 0).has_value());
    std::this_thread::sleep_for(3s);
    const auto startedAt = monotonicNow();
    CHECK(post(threads, server, 0, 2s).has_value());
    CHECK(monotonicNow() - startedAt < 1s);
    threads.stop();
}
