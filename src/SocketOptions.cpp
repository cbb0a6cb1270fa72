#include "SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace jayhold {

namespace {

/// Unanswered keep-alive probes after which an idle connection is closed, if the user timeout is long enough
/// for that many. With one probe per second, the last one times out when the user timeout ends.
constexpr int keepAliveProbes = 3;

auto setOption(int descriptor, int option, int value) -> void
{
    // A system without the option keeps its default, which only detects a dead peer later.
    ::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

}

auto setSocketOptions(boost::asio::ip::tcp::socket& socket, Duration tcpUserTimeout) -> void
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    if (tcpUserTimeout <= Duration::zero())
        return;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto descriptor = socket.native_handle();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(tcpUserTimeout).count();
    const auto probes = std::clamp(static_cast<int>(seconds) - 1, 1, keepAliveProbes);
    setOption(descriptor, TCP_KEEPIDLE, std::max(1, static_cast<int>(seconds) - probes));
    setOption(descriptor, TCP_KEEPINTVL, 1);
    setOption(descriptor, TCP_KEEPCNT, probes);
    setOption(descriptor, TCP_USER_TIMEOUT, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(tcpUserTimeout).count()));
}

}
