#pragma once

/// Plain TCP connections for tests that send and receive the exact bytes of a request and its response.

#include "HttpEndpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>

#include <string>

namespace jayhold::test {

inline auto connectTo(boost::asio::io_context& context, const HttpEndpoint& endpoint) -> boost::asio::ip::tcp::socket
{
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    return socket;
}

/// @param code set to asio::error::eof, or to another error if the connection was reset.
/// @return what is received until the connection closes.
inline auto readUntilClosed(boost::asio::ip::tcp::socket& socket, boost::system::error_code& code) -> std::string
{
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), code);
    return received;
}

inline auto readUntilClosed(boost::asio::ip::tcp::socket& socket) -> std::string
{
    boost::system::error_code ignored;
    return readUntilClosed(socket, ignored);
}

}
