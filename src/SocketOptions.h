#pragma once

/// Options of the TCP sockets on both sides; private to the HTTP library.

#include "Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace jayhold {

/// Sends small messages at once.
/// @param tcpUserTimeout a peer that acknowledges nothing for this long counts as gone, also while the
/// connection is idle; zero leaves that to the system's defaults.
auto setSocketOptions(boost::asio::ip::tcp::socket& socket, Duration tcpUserTimeout) -> void;

}
