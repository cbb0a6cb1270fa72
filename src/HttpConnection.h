#pragma once

/// The socket and buffers of a client connection. Private to the HTTP library.

#include "ConnectionKey.h"
#include "HttpHead.h"
#include "HttpStream.h"
#include "ResponseShare.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace jayhold {

class ConnectionPool;

struct HttpStream::Connection {
    /// Cancels a read that exceeds its deadline. Arming a timer for every read would cost more than
    /// reading a short chunk, so this one is rearmed only when it expires or has to expire earlier.
    struct ReadTimer {
        explicit ReadTimer(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }

        boost::asio::steady_timer timer;
        /// Null once the connection has been destroyed.
        Connection* connection = nullptr;
        TimePoint deadline = TimePoint::max();
        TimePoint armedDeadline = TimePoint::max();
        bool hasTimedOut = false;
        /// Whether the response was ended because the response budget was used up.
        bool isOverBudget = false;
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
        close();
    }
    Connection(const Connection&) = delete;
    auto operator=(const Connection&) -> Connection& = delete;

    /// Closes the socket. A call without its complete response is reset, so that it does not reach the server later than
    /// its caller has given it up.
    auto close() -> void;

    /// Counts the bytes held of the response in the response budget.
    /// @return false if there is no room for them, so that the call has to end.
    auto hold() -> bool;

    static constexpr std::size_t readBufferBytes = 16'384;
    /// Limits received bytes that can't be parsed yet, such as a chunk extension or a trailer without end.
    static constexpr std::size_t maxUnparsedBytes = 65'536;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer { maxUnparsedBytes };
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser;
    std::vector<HttpHeader> headers;
    /// Limits of the head of a response.
    HeadSize headLimits;
    std::function<void(const HttpEndpoint&, std::string_view)> onLimitReached;
    /// Estimated bytes held of the header lines; 0 while they are few.
    std::size_t headBytes = 0;
    /// Bytes held of the body, as HttpStream::hold() was told.
    std::size_t bodyBytes = 0;
    std::array<char, readBufferBytes> chunk {};
    bool isClosed = false;
    /// Whether a call has been sent since the connection was opened or taken from the pool.
    bool hasCall = false;
    /// False once a response has arrived that no call expected; another one may follow.
    bool isReusable = true;
    /// Whether the server has sent a response, even if it was skipped, since the connection was opened or taken from
    /// the pool.
    bool hasAnswered = false;
    /// Whether a part of the call could not be sent. The error of a reset is reported once, to the write, so the end of the
    /// stream shows no longer whether the server closed the connection or reset it.
    bool hasFailedWrite = false;
    /// Hashes of the correlation values of the calls that were sent on the connection.
    std::unordered_set<std::size_t> carriedCalls;
    /// Restored when the connection becomes idle, if the call has suspended it; zero otherwise.
    Duration suspendedUserTimeout {};
    ConnectionKey key;
    /// The pool to which the connection returns after its response has been read completely.
    std::weak_ptr<ConnectionPool> pool;
    std::shared_ptr<ResponseBudget> responseBudget;
    /// Counts the bytes held of the response; null while they are few.
    std::shared_ptr<ResponseShare> share;
    const std::shared_ptr<ReadTimer> readTimer;
};

/// @return the error of a response that was ended because the response budget was used up.
auto overBudgetError() -> HttpError;

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
