#pragma once

/// The socket and buffers behind HttpClient and HttpStream; private to the two.

#include "ConnectionKey.h"
#include "HttpStream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>

namespace jayhold {

class ConnectionPool;

struct HttpStream::Connection {
    /// Ends a read that takes too long. A timer of its own for every read would cost more than the
    /// read of a short piece; this one is set anew only when it ends or has to end earlier.
    struct ReadTimer {
        explicit ReadTimer(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }

        boost::asio::steady_timer timer;
        /// Null when the connection is gone.
        Connection* connection = nullptr;
        TimePoint deadline = TimePoint::max();
        TimePoint armedFor = TimePoint::max();
        bool hasTimedOut = false;
    };

    explicit Connection(boost::asio::io_context& context)
        : stream(context)
        , readTimer(std::make_shared<ReadTimer>(stream.get_executor()))
    {
        readTimer->connection = this;
    }
    ~Connection()
    {
        readTimer->connection = nullptr;
        readTimer->timer.cancel();
    }
    Connection(const Connection&) = delete;
    auto operator=(const Connection&) -> Connection& = delete;

    static constexpr std::size_t readBufferBytes = 16'384;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser;
    std::vector<HttpHeader> headers;
    std::array<char, readBufferBytes> chunk {};
    bool isClosed = false;
    ConnectionKey key;
    /// Where the connection goes when its answer was read whole.
    std::weak_ptr<ConnectionPool> pool;
    const std::shared_ptr<ReadTimer> readTimer;
};

/// @return the typed error for a failure after the request was, or may have been, sent.
auto httpErrorOf(const boost::system::error_code& code) -> HttpError;

/// Copies the header fields of a Beast message.
template <typename Fields>
auto copyHeaders(const Fields& fields) -> std::vector<HttpHeader>
{
    std::vector<HttpHeader> headers;
    for (const auto& field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

}
