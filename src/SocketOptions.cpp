#include "SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace jayhold {

namespace {

/// Unanswered keep-alive probes after which an idle connection is closed, if the user timeout is long enough
/// for that many. With one probe per second, the last one times out when the user timeout ends.
constexpr int keepAliveProbes = 3;

/// Unanswered keep-alive probes after which a connection that tolerates silence is closed. A sound server may be silent
/// for about a second, in which up to two probes are lost.
constexpr int toleratedProbes = 5;

auto setOption(int descriptor, int option, int value) -> void
{
    // A system without the option keeps its default, which only detects a dead peer later.
    ::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

auto setUserTimeout(int descriptor, Duration timeout) -> void
{
    setOption(descriptor, TCP_USER_TIMEOUT, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
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
    setUserTimeout(descriptor, tcpUserTimeout);
}

auto setResetsOnClose(boost::asio::ip::tcp::socket& socket, bool resets) -> void
{
    // A socket that is not open any more has nothing left to send.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

auto tolerateSilence(boost::asio::ip::tcp::socket& socket) -> void
{
    // With a user timeout the system ignores the number of probes, and closes a connection whose peer acknowledges probes
    // but does not read.
    setOption(socket.native_handle(), TCP_KEEPCNT, toleratedProbes);
    setUserTimeout(socket.native_handle(), Duration::zero());
}

auto restoreUserTimeout(boost::asio::ip::tcp::socket& socket, Duration tcpUserTimeout) -> void
{
    if (tcpUserTimeout > Duration::zero())
        setUserTimeout(socket.native_handle(), tcpUserTimeout);
}

}
