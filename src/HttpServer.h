#pragma once

/// An HTTP/1.1 server over the I/O threads. Malformed, oversized and slow requests are answered
/// by the server itself with a typed JSON error; all others go to the handler, one coroutine for
/// each connection, on the connection's I/O thread.

#include "HttpEndpoint.h"
#include "HttpExchange.h"
#include "IoThreads.h"
#include "Time.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace jayhold {

struct HttpServerSettings {
    HttpEndpoint endpoint { "127.0.0.1", 0 };
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    /// Longest time for a request's header and body to arrive once its first byte has.
    Duration readTimeout = std::chrono::seconds(10);
    /// Time after which an idle connection is closed.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Longest time for one piece of an answer to be taken by the caller.
    Duration writeTimeout = std::chrono::seconds(10);
    /// A caller that acknowledges nothing for this long counts as gone; zero is the system's default.
    Duration tcpUserTimeout {};
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

class HttpServer {
public:
    /// Starts listening.
    /// @throws boost::system::system_error where the endpoint can't be bound.
    HttpServer(IoThreads& threads, const HttpServerSettings& settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    /// @return the endpoint in use, with the port that the system chose where 0 was asked for.
    auto endpoint() const -> HttpEndpoint;

    /// Replaces the limits and timeouts for requests that arrive from now on; the endpoint stays.
    auto updateLimits(const HttpServerSettings& settings) -> void;

    /// Stops accepting connections; open exchanges go on and end with `Connection: close`.
    auto stopAccepting() -> void;

    /// Closes connections on which no request is in progress, now and when their request ends. A
    /// request that its caller has just sent there was not read, so the caller may send it again.
    auto closeIdleConnections() -> void;

    /// Makes every further answer end its connection; new connections are still accepted.
    auto closeAfterResponses() -> void;

    /// @return exchanges that a handler is working on.
    auto activeExchanges() const -> std::size_t;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

}
