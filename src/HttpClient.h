#pragma once

/// An HTTP/1.1 client with a pool of idle connections. A client belongs to one I/O thread, on
/// which all its calls run, so it needs no lock.

#include "HttpCallOptions.h"
#include "HttpEndpoint.h"
#include "HttpError.h"
#include "HttpRequest.h"
#include "HttpResponse.h"
#include "HttpStream.h"
#include "Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace jayhold {

class ConnectionPool;

struct HttpClientSettings {
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Idle connections kept for one endpoint.
    std::size_t maxIdlePerEndpoint = 32;
    /// How long an idle connection is kept whose peer names no time of its own.
    Duration idleConnectionTimeout = std::chrono::seconds(30);
    /// A peer that acknowledges nothing for this long counts as gone; zero is the system's default.
    Duration tcpUserTimeout {};
    /// Largest body that request() accepts, in bytes.
    std::size_t maxBodyBytes = 16U << 20U;
};

class HttpClient {
public:
    HttpClient(boost::asio::io_context& context, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    auto operator=(const HttpClient&) -> HttpClient& = delete;

    /// Sends a request and reads the whole answer. GET requests and idempotent ones may use idle
    /// connections and are sent again where such a connection was closed; others never run twice.
    /// @param timeout time for sending, waiting and reading together, after connecting.
    auto request(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> boost::asio::awaitable<HttpResult<HttpResponse>>;

    /// The same with options; their timeout covers the whole answer.
    auto request(HttpEndpoint endpoint, HttpRequest request, HttpCallOptions options) -> boost::asio::awaitable<HttpResult<HttpResponse>>;

    /// Sends a request on a new connection and reads the header of the answer; the body is read
    /// from the stream. Closing the stream closes the connection, which cancels the call.
    /// @param timeout time until the header has arrived, after connecting.
    auto open(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> boost::asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>;

    /// The same with options.
    auto open(HttpEndpoint endpoint, HttpRequest request, HttpCallOptions options) -> boost::asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>;

private:
    boost::asio::io_context& m_context;
    const HttpClientSettings m_settings;
    std::shared_ptr<ConnectionPool> m_pool;
};

}
