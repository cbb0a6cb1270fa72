#include "../HttpTestServer.h"

#include "Pause.h"

#include "AwaitToken.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t maxBodyBytes = 1U << 20U;

/// A server that answers each call with a prefix and then bytes without end, until the caller closes.
class EndlessServer {
public:
    EndlessServer(IoThreads& threads, std::string prefix)
        : m_acceptor(threads.context(0), { asio::ip::make_address("127.0.0.1"), 0 })
        , m_prefix(std::move(prefix))
    {
        asio::co_spawn(threads.context(0), serve(), asio::detached);
    }

    auto endpoint() const -> HttpEndpoint { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    auto sentBytes() const -> std::size_t { return m_sentBytes; }

private:
    auto serve() -> asio::awaitable<void>
    {
        auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4'096> request {};
        co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(m_prefix), asio::use_awaitable);
        const std::string filler(16'384, 'x');
        boost::system::error_code code;
        while (!code)
            m_sentBytes += co_await asio::async_write(socket, asio::buffer(filler), awaitInto(code));
    }

    asio::ip::tcp::acceptor m_acceptor;
    const std::string m_prefix;
    std::atomic<std::size_t> m_sentBytes { 0 };
};

}

// Guards against a backend server whose answer never ends and that fills the memory of the instance.
TEST_CASE("a response without end ends the call at a bounded size")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string prefix = GENERATE_COPY(std::string(), ok, ok + "Field: ", ok + "\r\n", ok + "Content-Length: 99999999999\r\n\r\n", ok + "Transfer-Encoding: chunked\r\n\r\n1;", ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nField: ");
    CAPTURE(prefix);
    HttpClientSettings settings;
    settings.maxBodyBytes = maxBodyBytes;
    IoThreads threads(2, settings);
    EndlessServer server(threads, prefix);
    const auto startedAt = monotonicNow();
    const auto response = runOn(threads, 1, threads.client(1).request(server.endpoint(), HttpRequest {}, 5s));
    CHECK(monotonicNow() - startedAt < 4s);
    REQUIRE(response.has_error());
    CHECK(response.error().kind == HttpErrorKind::MalformedAnswer);
    // What the client has not read waits in the buffers of the connection.
    CHECK(server.sentBytes() < maxBodyBytes + (16U << 20U));
    threads.stop();
}

// Guards against a call that lasts for twice its timeout because its header comes late and its body does not.
TEST_CASE("the timeout of a call covers its header and its body")
{
    IoThreads threads { 1 };
    HttpServer server(threads, {}, [](HttpExchange& exchange) -> boost::asio::awaitable<void> {
        co_await pause(400ms);
        co_await exchange.startStream(200, {});
        co_await pause(1s);
        exchange.abort();
    });
    const auto startedAt = monotonicNow();
    const auto response = runOn(threads, 0, threads.client(0).request(server.endpoint(), HttpRequest { .target = "/" }, 500ms));
    CHECK_FALSE(response.has_value());
    CHECK(monotonicNow() - startedAt < 750ms);
    threads.stop();
}
