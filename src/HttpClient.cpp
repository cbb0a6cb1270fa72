#include "HttpClient.h"

#include "AwaitToken.h"
#include "ConnectionPool.h"
#include "HttpConnection.h"
#include "HttpStatus.h"
#include "SocketOptions.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Maximum number of late responses to earlier calls that are skipped before the expected one.
constexpr int maxSkippedResponses = 2;
/// A response is preceded by few interim ones; more would keep a call waiting for a faulty server.
constexpr int maxInterimResponses = 8;
/// The valid statuses. Beast accepts any three digits.
constexpr unsigned firstStatus = 100;
constexpr unsigned lastStatus = 599;
/// A connection that closed while it was idle fails within a round trip. If it fails later, the server has
/// probably read the call.
constexpr Duration maxStaleDetectionTime = std::chrono::milliseconds(100);

using BeastRequest = http::request<http::span_body<const char>>;
using Connection = HttpStream::Connection;

/// @param request must outlive the message, which refers to its body.
auto toBeast(const HttpEndpoint& endpoint, const HttpRequest& request) -> BeastRequest
{
    BeastRequest message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (!findHeader(request.headers, "Host"))
        message.set(http::field::host, toString(endpoint));
    for (const auto& header : request.headers)
        message.insert(header.name, header.value);
    const auto content = request.content();
    message.body() = { content.data(), content.size() };
    message.prepare_payload();
    return message;
}

auto connect(beast::tcp_stream& stream, const HttpEndpoint& endpoint, const HttpClientSettings& settings) -> asio::awaitable<std::optional<HttpError>>
{
    boost::system::error_code code;
    const auto address = asio::ip::make_address(endpoint.address, code);
    if (code)
        co_return HttpError { HttpErrorKind::NotConnected, code.message() };
    const asio::ip::tcp::endpoint remote(address, endpoint.port);
    if (settings.receiveBufferBytes > 0) {
        // The size must be set before connecting, because the window scale is negotiated then.
        boost::system::error_code ignored;
        stream.socket().open(remote.protocol(), code);
        if (code)
            co_return HttpError { HttpErrorKind::NotConnected, code.message() };
        // A system without the option keeps its default, which only buffers more.
        stream.socket().set_option(asio::socket_base::receive_buffer_size(settings.receiveBufferBytes), ignored);
    }
    stream.expires_after(settings.connectTimeout);
    co_await stream.async_connect(remote, awaitInto(code));
    if (code)
        co_return HttpError { HttpErrorKind::NotConnected, code.message() };
    setSocketOptions(stream.socket(), settings.tcpUserTimeout);
    // A call that times out closes the socket without Connection::close().
    setResetsOnClose(stream.socket(), true);
    co_return std::nullopt;
}

/// Counts the header lines of a response as far as they were read. Small heads are not counted, as small bodies are not.
/// @return false if there is no room for them.
auto holdHead(Connection& connection, const HeadSize& head) -> bool
{
    const auto bytes = heldBytes(head);
    connection.headBytes = bytes > ResponseBudget::uncountedBytes ? bytes : 0;
    if (connection.hold())
        return true;
    connection.readTimer->isOverBudget = true;
    return false;
}

/// @return the error of a call that ended before the header of its response had arrived.
auto callError(const Connection& connection, const boost::system::error_code& code) -> HttpError
{
    return connection.readTimer->isOverBudget ? overBudgetError() : httpErrorOf(code);
}

auto readHeader(Connection& connection, bool hasNoBody) -> asio::awaitable<boost::system::error_code>
{
    boost::system::error_code code;
    auto& parser = connection.parser.emplace();
    parser.body_limit(boost::none);
    parser.skip(hasNoBody);
    parser.header_limit(static_cast<std::uint32_t>(connection.headLimits.bytes));
    HeadSize head;
    code = co_await readHead(connection.stream, connection.buffer, parser, head, connection.headLimits, [&] { return holdHead(connection, head); });
    if (code == http::error::header_limit)
        connection.onLimitReached(connection.key.endpoint, exceededLimit(head, connection.headLimits));
    if (!code && connection.readTimer->isOverBudget)
        code = asio::error::operation_aborted;
    if (!code)
        connection.headers = copyHeaders(parser.get());
    co_return code;
}

/// Reads the header of the next final response and discards interim ones, which may precede it.
auto readFinalHeader(Connection& connection, bool hasNoBody) -> asio::awaitable<boost::system::error_code>
{
    for (auto interim = 0; interim <= maxInterimResponses; ++interim) {
        const auto code = co_await readHeader(connection, hasNoBody);
        if (code)
            co_return code;
        const auto status = connection.parser->get().result_int();
        if (status < firstStatus || status > lastStatus)
            co_return http::error::bad_status;
        if (status >= statusOk)
            co_return code;
        if (connection.parser->get().result() == http::status::switching_protocols)
            co_return http::error::bad_status;
        connection.hasAnswered = true;
    }
    co_return http::error::bad_status;
}

/// Reads and discards the body of a late response to an earlier call.
auto skipBody(Connection& connection) -> asio::awaitable<boost::system::error_code>
{
    boost::system::error_code code;
    auto& parser = *connection.parser;
    while (!code && !parser.is_done()) {
        auto& body = parser.get().body();
        body.data = connection.chunk.data();
        body.size = connection.chunk.size();
        co_await http::async_read_some(connection.stream, connection.buffer, parser, awaitInto(code));
        if (code == http::error::need_buffer)
            code = {};
    }
    co_return code;
}

auto matchesCorrelationHeader(const Connection& connection, const std::optional<HttpHeader>& correlationHeader) -> bool
{
    if (!correlationHeader)
        return true;
    // The caller decides about a response without the field.
    const auto value = findHeader(connection.headers, correlationHeader->name);
    return !value || *value == correlationHeader->value;
}

/// @return whether the response certainly belongs to the call, as far as the call has a correlation value.
auto repeatsCorrelationHeader(const Connection& connection, const std::optional<HttpHeader>& correlationHeader) -> bool
{
    return !correlationHeader || findHeader(connection.headers, correlationHeader->name) == correlationHeader->value;
}

/// @return the hash by which a connection remembers the call.
auto callHash(const HttpCallOptions& options) -> std::optional<std::size_t>
{
    if (!options.correlationHeader)
        return std::nullopt;
    return std::hash<std::string> {}(options.correlationHeader->value);
}

/// Sends the request and reads the header of its response.
auto exchangeHeaders(Connection& connection, const BeastRequest& message, const HttpCallOptions& options, Duration tcpUserTimeout) -> asio::awaitable<boost::system::error_code>
{
    boost::system::error_code code;
    if (options.outlastsSilence) {
        connection.suspendedUserTimeout = tcpUserTimeout;
        tolerateSilence(connection.stream.socket());
    }
    connection.stream.expires_after(options.timeout);
    if (const auto call = callHash(options))
        connection.carriedCalls.insert(*call);
    connection.hasCall = true;
    co_await http::async_write(connection.stream, message, awaitInto(code));
    if (code == beast::error::timeout || code == asio::error::operation_aborted)
        co_return code;
    // The server may have answered before it stopped reading.
    const auto writeError = code;
    if (writeError) {
        connection.hasFailedWrite = true;
        connection.isReusable = false;
    }
    const auto hasNoBody = message.method() == http::verb::head;
    for (auto skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        code = co_await readFinalHeader(connection, hasNoBody);
        if (writeError && code == http::error::end_of_stream)
            co_return writeError;
        if (code)
            co_return code;
        options.onHeader(connection.parser->get().result_int(), connection.headers);
        connection.isReusable = connection.isReusable && repeatsCorrelationHeader(connection, options.correlationHeader);
        if (matchesCorrelationHeader(connection, options.correlationHeader))
            co_return code;
        connection.hasAnswered = true;
        options.onSkippedResponse(connection.parser->get().result_int());
        code = co_await skipBody(connection);
        if (code)
            co_return code;
        if (!connection.parser->keep_alive())
            co_return http::error::end_of_stream;
    }
    co_return http::error::unexpected_body;
}

/// @param elapsed time since the call was sent.
/// @return whether a reused connection had probably closed before the call was sent.
auto wasStale(const Connection& connection, const boost::system::error_code& code, Duration elapsed) -> bool
{
    if (code == beast::error::timeout || code == asio::error::operation_aborted || elapsed > maxStaleDetectionTime)
        return false;
    return !connection.hasAnswered && (!connection.parser || !connection.parser->got_some());
}

}

HttpClient::HttpClient(asio::io_context& context, HttpClientSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_pool(std::make_shared<ConnectionPool>(m_settings.maxIdlePerEndpoint, m_settings.idleConnectionTimeout))
{
}

HttpClient::~HttpClient() = default;

auto HttpClient::listenState(HttpEndpoint endpoint) -> asio::awaitable<ListenState>
{
    boost::system::error_code code;
    const auto address = asio::ip::make_address(endpoint.address, code);
    if (code)
        co_return ListenState::Unknown;
    beast::tcp_stream stream(m_context);
    stream.expires_after(m_settings.connectTimeout);
    co_await stream.async_connect(asio::ip::tcp::endpoint(address, endpoint.port), awaitInto(code));
    if (!code)
        co_return ListenState::Listening;
    co_return code == asio::error::connection_refused ? ListenState::Refused : ListenState::Unknown;
}

auto HttpClient::request(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> asio::awaitable<HttpResult<HttpResponse>>
{
    HttpCallOptions options;
    options.timeout = timeout;
    const auto mayRunTwice = request.isIdempotent || request.method == "GET";
    options.mayResend = [mayRunTwice] { return mayRunTwice; };
    // Only calls that may run twice use a pooled connection: the server can close it while the request
    // is being sent, and the client can't distinguish this case from a call that ran.
    options.mayReuse = mayRunTwice;
    auto response = co_await this->request(std::move(endpoint), std::move(request), std::move(options));
    co_return response;
}

auto HttpClient::request(HttpEndpoint endpoint, HttpRequest request, HttpCallOptions options) -> asio::awaitable<HttpResult<HttpResponse>>
{
    // The timeout covers the whole call.
    const auto deadline = monotonicNow() + options.timeout;
    const auto opened = co_await open(std::move(endpoint), std::move(request), std::move(options));
    if (opened.has_error())
        co_return opened.error();
    auto& stream = **opened;
    auto response = co_await stream.readAll(m_settings.maxBodyBytes, deadline);
    if (response.has_value())
        stream.release();
    co_return response;
}

auto HttpClient::open(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>
{
    HttpCallOptions options;
    options.timeout = timeout;
    auto stream = co_await open(std::move(endpoint), std::move(request), std::move(options));
    co_return stream;
}

auto HttpClient::open(HttpEndpoint endpoint, HttpRequest request, HttpCallOptions options) -> asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>
{
    const auto message = toBeast(endpoint, request);
    const ConnectionKey key { endpoint, options.peer };
    auto connection = options.mayReuse ? m_pool->acquire(key, monotonicNow(), callHash(options)) : nullptr;
    const auto isReused = connection != nullptr;
    if (isReused) {
        const auto sentAt = monotonicNow();
        const auto code = co_await exchangeHeaders(*connection, message, options, m_settings.tcpUserTimeout);
        if (!code)
            co_return std::make_shared<HttpStream>(std::move(connection));
        if (!wasStale(*connection, code, monotonicNow() - sentAt) || !options.mayResend())
            co_return callError(*connection, code);
    }
    connection = std::make_unique<Connection>(m_context);
    connection->key = key;
    connection->pool = m_pool;
    connection->responseBudget = m_settings.responseBudget;
    connection->headLimits = { m_settings.maxHeaderBytes, m_settings.maxHeaderLines };
    connection->onLimitReached = m_settings.onLimitReached;
    if (auto error = co_await connect(connection->stream, endpoint, m_settings)) {
        // The server may have executed the call that was sent on the reused connection.
        if (isReused)
            error->kind = HttpErrorKind::ConnectionLost;
        co_return std::move(*error);
    }
    const auto code = co_await exchangeHeaders(*connection, message, options, m_settings.tcpUserTimeout);
    if (code)
        co_return callError(*connection, code);
    co_return std::make_shared<HttpStream>(std::move(connection));
}

}
