#pragma once

/// An HTTP/1.1 server on the I/O threads. The server itself responds to malformed, oversized and slow
/// requests with a typed JSON error. All other requests go to the handler, which runs in one coroutine
/// per connection, on the connection's I/O thread.

#include "ConnectionClose.h"
#include "HttpEndpoint.h"
#include "HttpExchange.h"
#include "IoThreads.h"
#include "RequestBudget.h"
#include "Time.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace jayhold {

struct HttpServerSettings {
    HttpEndpoint endpoint { "127.0.0.1", 0 };
    std::size_t maxHeaderBytes = 16U << 10U;
    /// Maximum number of header lines of a request. A head of the maximum size has at most a quarter as many lines as
    /// bytes.
    std::size_t maxHeaderLines = 4'096;
    /// Connections beyond this number wait in the listen queue; 0 if they are not limited.
    std::size_t maxConnections = 0;
    std::size_t maxBodyBytes = 4U << 20U;
    /// Maximum time from the first byte of a request until its header and body have arrived.
    Duration readTimeout = std::chrono::seconds(10);
    /// Time after which an idle connection is closed.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Maximum time for the caller to accept one chunk of a response.
    Duration writeTimeout = std::chrono::seconds(10);
    /// A connection on which nothing is acknowledged for this long before its first request is closed; zero keeps the
    /// system's defaults.
    Duration tcpUserTimeout {};
    /// Limits the bytes of requests that are held at the same time; null if they are not limited.
    std::shared_ptr<RequestBudget> requestBudget;
    /// Creates the response to a request that has not been read because there is no room for its body. Gets the request
    /// without its body.
    std::function<HttpResponse(const HttpRequest&)> noRoomResponse = [](const HttpRequest&) {
        return jsonResponse(503, R"({"error":{"type":"overloaded","message":"there is no room for the body of the request","ran":"no"}})");
    };
    /// Called on an I/O thread when a limit is reached, with the name of the limit: `header_bytes`, `header_lines`,
    /// `trailers` (also for chunk extensions), `memory` or `connections`.
    std::function<void(std::string_view)> onLimitReached = [](std::string_view) {};
    /// Called for each closed connection on its I/O thread.
    std::function<void(const ConnectionClose&)> onConnectionClosed = [](const ConnectionClose&) {};
    /// Creates the response to a request whose handler fails or is ended before it responds, so that the
    /// outcome is unknown.
    std::function<HttpResponse()> unknownOutcomeResponse = [] {
        return jsonResponse(500, R"({"error":{"type":"internal_error","message":"the request ended without a result","ran":"unknown"}})");
    };
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

class HttpServer {
public:
    /// Starts listening.
    /// @throws boost::system::system_error if the endpoint can't be bound.
    HttpServer(IoThreads& threads, const HttpServerSettings& settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    /// @return the bound endpoint, with the port that the system chose if port 0 was requested.
    auto endpoint() const -> HttpEndpoint;

    /// Replaces the limits and timeouts for requests that arrive from now on; the endpoint, the request budget
    /// and the functions are ignored.
    auto updateLimits(const HttpServerSettings& settings) -> void;

    /// Stops accepting connections, except for those that wait in the listen queue. Open exchanges are completed, and
    /// responses that start from now on carry `Connection: close`.
    auto stopAccepting() -> void;

    /// Closes idle connections now and all other connections when their request ends. A request that was
    /// just sent on an idle connection has not been read, so its caller may send it again. A connection that has not
    /// carried a request is closed 0.5 s after it was accepted.
    auto closeIdleConnections() -> void;

    /// Closes each connection after its next response; new connections are still accepted.
    auto closeAfterResponses() -> void;

    /// Ends all exchanges whose handler is running. A response that has begun is aborted, so that its caller
    /// detects that it is truncated; otherwise the caller gets the response for an unknown outcome. Complete
    /// responses that are being sent are not affected.
    auto endOpenExchanges() -> void;

    /// @return number of exchanges that are not answered yet, including requests of which only a part has
    /// arrived. After closeIdleConnections(), a connection counts until it has found out whether a request has
    /// arrived, and so does the listen queue.
    auto activeExchanges() const -> std::size_t;

    /// @return number of exchanges that endOpenExchanges() has ended.
    auto endedExchanges() const -> std::size_t;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

}
