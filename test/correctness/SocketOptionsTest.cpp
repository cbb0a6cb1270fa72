#include "SocketOptions.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

auto optionOf(asio::ip::tcp::socket& socket, int option) -> int
{
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(::getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size) == 0);
    return value;
}

}

// Guards against a connection whose caller waits for an answer, and which is closed because the link lost one packet.
TEST_CASE("a connection outlives a lost keep-alive probe if its timeout allows for another one")
{
    asio::io_context context;
    for (const auto timeout : { 1s, 2s, 3s, 5s, 20s }) {
        asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
        setSocketOptions(socket, timeout);
        const auto idle = optionOf(socket, TCP_KEEPIDLE);
        const auto probes = optionOf(socket, TCP_KEEPCNT);
        const auto interval = optionOf(socket, TCP_KEEPINTVL);
        INFO("timeout " << timeout.count() << " s");
        CHECK(optionOf(socket, TCP_USER_TIMEOUT) == timeout / 1ms);
        CHECK(probes >= (timeout >= 3s ? 2 : 1));
        // A dead peer is detected when the user timeout ends.
        CHECK(idle + probes * interval == std::max<std::int64_t>(timeout.count(), 2));
    }
}
