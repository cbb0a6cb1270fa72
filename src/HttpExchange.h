#pragma once

/// One request that a server received, and the means to answer it, whole or piece by piece.

#include "HttpClient.h"
#include "HttpRequest.h"
#include "HttpResponse.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace jayhold {

class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual auto request() const -> const HttpRequest& = 0;

    /// Sends a whole answer.
    /// @return whether it was handed to the operating system; false where the caller is gone.
    virtual auto respond(HttpResponse response) -> boost::asio::awaitable<bool> = 0;

    /// Sends the header of an answer whose body follows in pieces.
    virtual auto startStream(unsigned status, std::vector<HttpHeader> headers) -> boost::asio::awaitable<bool> = 0;

    /// Sends one piece of the body.
    /// @return false where the caller is gone or does not take the piece within the write timeout.
    virtual auto write(std::string_view chunk) -> boost::asio::awaitable<bool> = 0;

    /// Ends the body.
    virtual auto finishStream() -> boost::asio::awaitable<bool> = 0;

    /// Closes the connection without ending the body, so that the caller sees a cut answer.
    virtual auto abort() -> void = 0;

    /// Calls back on the I/O thread, at most once, when the caller closes the connection before
    /// the exchange ends. A caller that closes only its sending side counts as gone.
    virtual auto onClose(std::function<void()> callback) -> void = 0;

    /// @return whether any part of an answer has been sent.
    virtual auto hasStarted() const -> bool = 0;

    /// @return the executor of the exchange's I/O thread.
    virtual auto executor() -> boost::asio::any_io_executor = 0;

    /// @return the client of the exchange's I/O thread.
    virtual auto client() -> HttpClient& = 0;
};

}
