#pragma once

/// A server for tests that handle each connection on a thread, with blocking calls.

#include "HttpEndpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace jayhold::test {

/// A server that handles each connection as a test says, on a thread of its own, and reads with a small buffer.
class BlockingServer {
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket&)>;

    BlockingServer(int connections, Handler handler)
        : m_acceptor(m_context, boost::asio::ip::tcp::v4())
    {
        constexpr int receiveBufferBytes = 32'768;
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        m_acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
        m_acceptor.listen();
        m_thread = std::jthread([this, connections, handler = std::move(handler)] {
            std::vector<std::jthread> threads;
            for (auto connection = 0; connection < connections; ++connection) {
                boost::system::error_code code;
                auto socket = m_acceptor.accept(code);
                if (code)
                    return;
                threads.emplace_back([handler, socket = std::move(socket)]() mutable { handler(socket); });
            }
        });
    }

    ~BlockingServer()
    {
        // Ends a wait for a connection that a failed test did not open.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    }
    BlockingServer(const BlockingServer&) = delete;
    auto operator=(const BlockingServer&) -> BlockingServer& = delete;

    auto endpoint() const -> HttpEndpoint { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::jthread m_thread;
};

/// @return the received bytes that follow the header; empty if the connection ends.
inline auto readHeader(boost::asio::ip::tcp::socket& socket) -> std::string
{
    std::string received;
    boost::system::error_code code;
    const auto size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", code);
    return received.substr(size);
}

}
