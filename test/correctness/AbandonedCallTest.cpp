#include "../BlockingServer.h"
#include "../HttpTestServer.h"
#include "../RawConnection.h"
#include "../SilentLink.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::string_view completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
constexpr std::string_view partialResponse = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndone";

/// A server that sends one response and waits for the end of its connection.
struct Fixture {
    explicit Fixture(std::string_view response)
        : server(1, [this, response](asio::ip::tcp::socket& socket) {
            readHeader(socket);
            boost::system::error_code code;
            asio::write(socket, asio::buffer(response), code);
            readUntilClosed(socket, code);
            end.set_value(code);
        })
    {
    }
    ~Fixture() { threads.stop(); }
    Fixture(const Fixture&) = delete;
    auto operator=(const Fixture&) -> Fixture& = delete;

    auto open(Duration timeout) -> HttpResult<std::shared_ptr<HttpStream>>
    {
        return runOn(threads, 0, threads.client(0).open(server.endpoint(), HttpRequest {}, timeout));
    }

    auto endOfConnection() -> boost::system::error_code
    {
        auto future = end.get_future();
        REQUIRE(future.wait_for(5s) == std::future_status::ready);
        return future.get();
    }

    std::promise<boost::system::error_code> end;
    IoThreads threads { 1 };
    BlockingServer server;
};

auto close(std::shared_ptr<HttpStream> stream) -> asio::awaitable<int>
{
    stream->close();
    co_return 0;
}

}

// Guards against a call that reaches its server after its caller has given it up, because the system goes on sending it.
TEST_CASE("a call that times out while the link is silent does not arrive later")
{
    std::promise<std::size_t> lateBytes;
    std::promise<void> silent;
    std::promise<void> givenUp;
    BlockingServer server(1, [&](asio::ip::tcp::socket& socket) {
        readHeader(socket);
        asio::write(socket, asio::buffer(completeResponse));
        {
            const SilentLink silence(socket);
            silent.set_value();
            givenUp.get_future().wait();
        }
        // The system sends a lost packet again after 0.2 s, 0.4 s and 0.8 s.
        std::this_thread::sleep_for(1'500ms);
        boost::system::error_code code;
        lateBytes.set_value(socket.available(code));
    });
    IoThreads threads(1);
    const auto call = [&](Duration timeout) {
        HttpCallOptions options;
        options.timeout = timeout;
        options.mayReuse = true;
        return runOn(threads, 0, threads.client(0).request(server.endpoint(), HttpRequest {}, std::move(options)));
    };
    REQUIRE(call(5s).has_value());
    silent.get_future().wait();
    const auto response = call(200ms);
    REQUIRE(response.has_error());
    CHECK(response.error().kind == HttpErrorKind::TimedOut);
    givenUp.set_value();
    CHECK(lateBytes.get_future().get() == 0);
    threads.stop();
}

// Guards against a close after which the system goes on sending a call that its caller has given up.
TEST_CASE("the connection of a call without a complete response is reset")
{
    SECTION("timed out")
    {
        Fixture fixture("");
        REQUIRE(fixture.open(100ms).has_error());
        CHECK(fixture.endOfConnection() == asio::error::connection_reset);
    }
    SECTION("closed")
    {
        Fixture fixture(partialResponse);
        auto stream = fixture.open(5s);
        REQUIRE(stream.has_value());
        runOn(fixture.threads, 0, close(*stream));
        CHECK(fixture.endOfConnection() == asio::error::connection_reset);
    }
}

// Guards against a reset that discards what a server has not read yet, or that it reports as a fault.
TEST_CASE("a connection with a complete response is closed without a reset")
{
    SECTION("not kept")
    {
        Fixture fixture("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone");
        REQUIRE(runOn(fixture.threads, 0, fixture.threads.client(0).request(fixture.server.endpoint(), HttpRequest {}, Duration(5s))).has_value());
        CHECK(fixture.endOfConnection() == asio::error::eof);
    }
    SECTION("kept and idle")
    {
        Fixture fixture(completeResponse);
        {
            asio::io_context context;
            HttpClient client(context, {});
            auto response = asio::co_spawn(context, client.request(fixture.server.endpoint(), HttpRequest {}, Duration(5s)), asio::use_future);
            context.run();
            REQUIRE(response.get().has_value());
        }
        CHECK(fixture.endOfConnection() == asio::error::eof);
    }
}
