#include "../RawBackend.h"
#include "../RawConnection.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// Connects again and again and sends a request on each connection, until the server accepts no more.
auto sendRequests(const HttpEndpoint& endpoint) -> void
{
    boost::asio::io_context context;
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n\r\n";
    for (boost::system::error_code code; !code;) {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port }, code);
        if (!code)
            boost::asio::write(socket, boost::asio::buffer(request), code);
    }
}

}

// Guards against a test program that crashes at the end of a test, because its server is destroyed while an I/O
// thread accepts a connection or runs the script.
TEST_CASE("a test's server can be destroyed while requests arrive")
{
    constexpr int servers = 100;
    IoThreads threads(2);
    for (auto server = 0; server < servers; ++server) {
        std::atomic<int> calls { 0 };
        std::thread caller;
        {
            RawBackend backend(threads, [&](const RawRequest& request) {
                ++calls;
                return RawReply { validResponse(request) };
            });
            caller = std::thread(sendRequests, backend.endpoint());
            while (calls < 3)
                std::this_thread::yield();
        }
        const auto callsAtEnd = calls.load();
        caller.join();
        CHECK(calls == callsAtEnd);
    }
}
