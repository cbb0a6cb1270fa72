#pragma once

/// The response to a client's request, read in chunks as it arrives.

#include "HttpError.h"
#include "HttpHeader.h"
#include "HttpResponse.h"
#include "Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace jayhold {

class HttpStream {
public:
    struct Connection;

    explicit HttpStream(std::unique_ptr<Connection> connection);
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    auto operator=(const HttpStream&) -> HttpStream& = delete;

    auto status() const -> unsigned;
    auto headers() const -> const std::vector<HttpHeader>&;

    /// @return the local port of the connection, which identifies it.
    auto localPort() const -> std::uint16_t;

    /// Waits for the next chunk of the body.
    /// @param timeout maximum time to wait for the chunk.
    /// @return a view that is valid until the next call; empty at the end of the body.
    auto readSome(Duration timeout) -> boost::asio::awaitable<HttpResult<std::string_view>>;

    /// Reads the response to its end.
    /// @param maxBodyBytes a response with a larger body is an error.
    /// @param deadline time by which the whole response must have arrived.
    auto readAll(std::size_t maxBodyBytes, TimePoint deadline) -> boost::asio::awaitable<HttpResult<HttpResponse>>;

    /// Counts the bytes of the response that are held, by the reader of the stream or for it, in the response budget.
    /// @return the error with which the call ends if the budget is used up and no other response holds more.
    auto hold(std::size_t bytes) -> std::optional<HttpError>;

    /// Ends the use of the stream. Its connection returns to the pool if the whole body was read and
    /// nothing followed it; otherwise it is closed. Only close() may be called afterwards.
    auto release() -> void;

    /// Closes the connection; a pending readSome() ends with Cancelled. Must be called on the I/O
    /// thread of the client.
    auto close() -> void;

private:
    std::unique_ptr<Connection> m_connection;
};

}
