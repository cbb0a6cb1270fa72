#pragma once

/// An HTTP/1.1 client with a pool of idle connections. A client belongs to one I/O thread, on
/// which all its calls run, so it needs no lock.

#include "HttpCallOptions.h"
#include "HttpEndpoint.h"
#include "HttpError.h"
#include "HttpRequest.h"
#include "HttpResponse.h"
#include "HttpStream.h"
#include "ResponseBudget.h"
#include "Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace jayhold {

class ConnectionPool;

struct HttpClientSettings {
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Maximum number of idle connections kept for one endpoint and peer.
    std::size_t maxIdlePerEndpoint = 32;
    /// Maximum time for which an idle connection is kept; a shorter Keep-Alive timeout that the server
    /// announces takes precedence.
    Duration idleConnectionTimeout = std::chrono::seconds(30);
    /// A connection on which nothing is acknowledged for this long is closed, except while a call runs on it that
    /// outlasts silence; zero keeps the system's defaults.
    Duration tcpUserTimeout {};
    /// Maximum size of a response body that request() accepts.
    std::size_t maxBodyBytes = 16U << 20U;
    /// Maximum bytes and lines of the head of a response, as for requests. Heads within them that are not small count in the
    /// response budget.
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxHeaderLines = 4'096;
    /// Called on the client's I/O thread when a response exceeds a limit, with the server's address and the name of the
    /// limit: `header_bytes`, `header_lines` or `trailers` (also for chunk extensions).
    std::function<void(const HttpEndpoint&, std::string_view)> onLimitReached = [](const HttpEndpoint&, std::string_view) {};
    /// Size of a connection's receive buffer in the kernel, which would otherwise grow to several MB while the
    /// process does not read; zero keeps the system's default.
    int receiveBufferBytes = 0;
    /// Limits the bytes held of all responses. Clients with copies of the settings share it.
    std::shared_ptr<ResponseBudget> responseBudget = std::make_shared<ResponseBudget>(ResponseBudget::defaultLimitBytes);
};

enum class ListenState : std::uint8_t {
    Listening,
    /// The address refuses connections: no process listens there.
    Refused,
    /// The address did not answer.
    Unknown,
};

class HttpClient {
public:
    HttpClient(boost::asio::io_context& context, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    auto operator=(const HttpClient&) -> HttpClient& = delete;

    /// Sends a request and reads the whole response. GET requests and idempotent ones may use idle
    /// connections and are sent again if such a connection was closed; other requests are never sent
    /// twice.
    /// @param timeout time from sending the request to the header of the response, and again from
    /// there to the end of its body; connecting has a timeout of its own.
    auto request(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> boost::asio::awaitable<HttpResult<HttpResponse>>;

    /// Same, with options, whose timeout applies in the same way.
    auto request(HttpEndpoint endpoint, HttpRequest request, HttpCallOptions options) -> boost::asio::awaitable<HttpResult<HttpResponse>>;

    /// Sends a request on a new connection and reads the header of the response; the body is read
    /// from the stream. Closing the stream closes the connection, which cancels the call.
    /// @param timeout time from sending the request to the header of the response; connecting has a
    /// timeout of its own.
    auto open(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> boost::asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>;

    /// Same, with options, which may allow the use of an idle connection.
    auto open(HttpEndpoint endpoint, HttpRequest request, HttpCallOptions options) -> boost::asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>;

    /// Opens a connection and closes it again, to learn whether a process listens at the address.
    auto listenState(HttpEndpoint endpoint) -> boost::asio::awaitable<ListenState>;

private:
    boost::asio::io_context& m_context;
    const HttpClientSettings m_settings;
    std::shared_ptr<ConnectionPool> m_pool;
};

}
