#pragma once

/// One request that a server has received, and the operations to respond to it at once or in chunks.

#include "HttpClient.h"
#include "HttpRequest.h"
#include "HttpResponse.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jayhold {

class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual auto request() const -> const HttpRequest& = 0;

    /// Moves the body out of the request, whose body is empty afterwards. It counts in the request budget of the server as long
    /// as anything refers to it.
    virtual auto takeBody() -> std::shared_ptr<const std::string> = 0;

    /// Sends a complete response.
    /// @return whether it was handed to the operating system; false if the caller has disconnected.
    virtual auto respond(HttpResponse response) -> boost::asio::awaitable<bool> = 0;

    /// Sends the header of a response whose body follows in chunks.
    virtual auto startStream(unsigned status, std::vector<HttpHeader> headers) -> boost::asio::awaitable<bool> = 0;

    /// Sends one chunk of the body.
    /// @return false if the caller has disconnected or does not accept the chunk within the write
    /// timeout.
    virtual auto write(std::string_view chunk) -> boost::asio::awaitable<bool> = 0;

    /// Ends the body.
    virtual auto finishStream() -> boost::asio::awaitable<bool> = 0;

    /// Closes the connection without ending the body, so that the caller detects a truncated response.
    virtual auto abort() -> void = 0;

    /// Calls back on the I/O thread, at most once, when the caller closes the connection before
    /// the exchange ends. A caller that closes only its sending side counts as disconnected.
    virtual auto onClose(std::function<void()> callback) -> void = 0;

    /// @return whether sending a response has started.
    virtual auto hasStarted() const -> bool = 0;

    /// @return the executor of the exchange's I/O thread.
    virtual auto executor() -> boost::asio::any_io_executor = 0;

    /// @return the client of the exchange's I/O thread.
    virtual auto client() -> HttpClient& = 0;
};

}
