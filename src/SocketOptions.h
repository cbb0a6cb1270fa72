#pragma once

/// Options of the client's and the server's TCP sockets. Private to the HTTP library.

#include "Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace jayhold {

/// Disables Nagle's algorithm, so that small messages are sent at once, and sets the user timeout.
/// @param tcpUserTimeout a connection on which nothing is acknowledged for this long is closed, also
/// while it is idle; zero keeps the system's defaults.
auto setSocketOptions(boost::asio::ip::tcp::socket& socket, Duration tcpUserTimeout) -> void;

}
