#pragma once

/// Options of the client's and the server's TCP sockets. Private to the HTTP library.

#include "Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace jayhold {

/// Disables Nagle's algorithm, so that small messages are sent at once, and sets the user timeout.
/// @param tcpUserTimeout a connection on which nothing is acknowledged for this long is closed, also
/// while it is idle; zero keeps the system's defaults.
auto setSocketOptions(boost::asio::ip::tcp::socket& socket, Duration tcpUserTimeout) -> void;

/// Chooses how closing the socket ends the connection.
/// @param resets whether the connection is reset, and bytes that have not been sent or acknowledged are discarded.
/// Otherwise the system goes on sending them after the close, for as long as the peer can't be reached.
auto setResetsOnClose(boost::asio::ip::tcp::socket& socket, bool resets) -> void;

/// Keeps the connection open while the peer acknowledges nothing for a few seconds, or acknowledges probes but does not
/// read. A peer that stays silent while nothing is sent to it is still detected.
auto tolerateSilence(boost::asio::ip::tcp::socket& socket) -> void;

/// Restores the user timeout after tolerateSilence().
/// @param tcpUserTimeout as for setSocketOptions(); zero changes nothing.
auto restoreUserTimeout(boost::asio::ip::tcp::socket& socket, Duration tcpUserTimeout) -> void;

}
