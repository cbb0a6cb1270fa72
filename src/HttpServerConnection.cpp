#include "HttpServerConnection.h"

#include "AwaitToken.h"
#include "ExceptionText.h"
#include "HttpConnection.h"
#include "HttpRequestReader.h"
#include "HttpServerExchange.h"
#include "ReadTimer.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

struct RequestError {
    unsigned status;
    std::string_view type;
    std::string_view message;
};

auto requestErrorOf(const boost::system::error_code& code) -> std::optional<RequestError>
{
    if (code == beast::error::timeout)
        return RequestError { 408, "request_timeout", "the request did not arrive in time" };
    if (code == http::error::body_limit)
        return RequestError { 413, "body_too_large", "the body is larger than allowed" };
    if (code == http::error::header_limit)
        return RequestError { 431, "header_too_large", "the header is larger than allowed" };
    if (code == http::error::buffer_overflow)
        return RequestError { 431, "header_too_large", "the trailers or a chunk extension are larger than allowed" };
    if (code == http::error::end_of_stream || code == http::error::partial_message)
        return std::nullopt;
    if (code.category() == http::make_error_code(http::error::bad_version).category())
        return RequestError { 400, "malformed_http", "the request is not valid HTTP" };
    return std::nullopt;
}

auto errorResponse(const RequestError& requestError) -> HttpResponse
{
    auto body = R"({"error":{"type":")" + std::string(requestError.type) + R"(","message":")" + std::string(requestError.message) + R"(","ran":"no"}})";
    return jsonResponse(requestError.status, std::move(body));
}

auto toRequest(http::request<http::string_body>& message) -> HttpRequest
{
    return { std::string(message.method_string()), std::string(message.target()), copyHeaders(message), std::move(message.body()), false };
}

/// The end of a connection on which no further request was read.
struct ReadEnd {
    CloseReason reason;
    /// Empty if the server has closed an idle connection.
    boost::system::error_code code;
    /// Whether the rest of the request was not read because there was no room for it.
    bool lacksRoom = false;
};

/// A caller that has just connected needs this time to send its request.
constexpr Duration firstRequestTime = std::chrono::milliseconds(500);

/// @return how long the connection may wait for the first byte of a request.
auto maxIdleTime(const HttpServerSharedState& shared, const HttpServerConnectionState& connection) -> Duration
{
    const auto settings = shared.settings.load();
    const auto idleTimeout = settings->idleTimeout;
    if (shared.closesIdleConnections)
        return connection.hasCarriedRequest ? Duration::zero() : std::min(idleTimeout, firstRequestTime);
    // Callers keep connections for their next request, but open one to send a request.
    const auto isUnusedInCrowd = shared.isCrowded && !connection.hasCarriedRequest;
    return isUnusedInCrowd ? std::min(idleTimeout, settings->readTimeout) : idleTimeout;
}

/// Waits for the first byte of a request. When the idle timeout ends, its current value is checked
/// again: it may have been raised, and callers that know the new value still use the connection. A request may
/// have arrived by then, while the process was paused or busy; it is read also after the timeout or during a drain.
auto waitForFirstByte(HttpServerSharedState& shared, const std::shared_ptr<HttpServerConnectionState>& connection) -> asio::awaitable<std::optional<ReadEnd>>
{
    const auto startedAt = monotonicNow();
    while (true) {
        const auto remaining = startedAt + maxIdleTime(shared, *connection) - monotonicNow();
        const auto isEnding = remaining <= Duration::zero();
        if (isEnding && !hasUnreadBytes(*connection))
            co_return ReadEnd { shared.closesIdleConnections ? CloseReason::Drain : CloseReason::IdleTimeout, {} };
        std::optional<ReadTimer> timer;
        if (!isEnding)
            timer.emplace(connection, remaining);
        boost::system::error_code code;
        const auto space = connection->buffer.prepare(firstReadBytes);
        connection->isIdle = !isEnding;
        const auto size = co_await connection->stream.async_read_some(space, awaitInto(code));
        connection->isIdle = false;
        if (code == asio::error::operation_aborted)
            continue;
        connection->buffer.commit(size);
        if (code)
            co_return ReadEnd { CloseReason::CallerClosed, code };
        co_return std::nullopt;
    }
}

/// Reports a limit that the request has exceeded.
auto reportLimit(const HttpServerSharedState& shared, const boost::system::error_code& code, const RequestReading& body) -> void
{
    if (code == http::error::buffer_overflow)
        shared.onLimitReached("trailers");
    else if (code == http::error::header_limit)
        shared.onLimitReached(exceededLimit(body.head, { body.settings.maxHeaderBytes, body.settings.maxHeaderLines }));
}

/// Waits for a request: up to the idle timeout for its first byte, then up to the read timeout
/// for the rest.
auto readRequest(HttpServerSharedState& shared, const std::shared_ptr<HttpServerConnectionState>& connection, RequestParser& parser) -> asio::awaitable<std::optional<ReadEnd>>
{
    connection->stream.expires_never();
    connection->buffer.max_size(std::numeric_limits<std::size_t>::max());
    {
        const ActiveExchange waiting(shared.waitingConnections);
        connection->accepted.reset();
        if (connection->buffer.size() == 0) {
            if (connection->buffer.capacity() > firstReadBytes)
                connection->buffer.shrink_to_fit();
            // There was room when the connection was accepted.
            connection->headShare.resize(connectionBytes);
            const auto end = co_await waitForFirstByte(shared, connection);
            if (end)
                co_return end;
        }
        // A request of which a part has arrived is read and answered even if the server is draining.
        connection->active.emplace(shared.activeExchanges);
        connection->hasCarriedRequest = true;
    }
    const auto settings = shared.settings.load();
    parser.header_limit(static_cast<std::uint32_t>(settings->maxHeaderBytes));
    parser.body_limit(settings->maxBodyBytes);
    const ReadTimer timer(connection, settings->readTimeout);
    RequestReading body { shared, connection, parser, timer, *settings };
    auto code = co_await readMessage(body);
    if (body.lacksRoom) {
        shared.requestBudget->countRefusal();
        shared.onLimitReached("memory");
        co_return ReadEnd { CloseReason::RequestError, {}, true };
    }
    reportLimit(shared, code, body);
    connection->bodyShare = std::move(body.share);
    if (!code)
        co_return std::nullopt;
    if (timer.hasTimedOut())
        code = beast::error::timeout;
    co_return ReadEnd { requestErrorOf(code) ? CloseReason::RequestError : CloseReason::CallerClosed, code };
}

/// Registers a connection, so that it can be woken while it waits for a request and its exchange can be ended.
class RegisteredConnection {
public:
    RegisteredConnection(HttpServerSharedState& shared, const std::shared_ptr<HttpServerConnectionState>& connection)
        : m_shared(shared)
        , m_connection(connection)
        , m_wakeKey(shared.connections.add([weak = std::weak_ptr(connection), executor = connection->stream.get_executor()] {
            asio::post(executor, [weak] {
                const auto woken = weak.lock();
                if (woken && woken->isIdle)
                    woken->stream.cancel();
            });
        }))
        , m_endKey(shared.exchanges.add([weak = std::weak_ptr(connection), executor = connection->stream.get_executor()] {
            asio::post(executor, [weak] {
                const auto ended = weak.lock();
                if (ended && ended->exchange)
                    ended->exchange->end();
            });
        }))
    {
    }
    ~RegisteredConnection()
    {
        m_shared.connections.remove(m_wakeKey);
        m_shared.exchanges.remove(m_endKey);
        // A pending wait for the close of the connection may outlive the counter.
        m_connection->active.reset();
    }
    RegisteredConnection(const RegisteredConnection&) = delete;
    auto operator=(const RegisteredConnection&) -> RegisteredConnection& = delete;

private:
    HttpServerSharedState& m_shared;
    const std::shared_ptr<HttpServerConnectionState> m_connection;
    const std::uint64_t m_wakeKey;
    const std::uint64_t m_endKey;
};

/// Closes the sending side and reads what the caller still sends for a bounded time. A socket that is closed with
/// unread data resets the connection, which can discard the response before the caller has read it.
auto discardRest(const std::shared_ptr<HttpServerConnectionState>& connection) -> asio::awaitable<void>
{
    constexpr Duration maxDiscardTime = std::chrono::seconds(1);
    boost::system::error_code code;
    connection->stream.expires_never();
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, code);
    const ReadTimer timer(connection, maxDiscardTime);
    std::array<char, 16U << 10U> discarded {};
    while (!code && !timer.hasTimedOut())
        co_await connection->stream.async_read_some(asio::buffer(discarded), awaitInto(code));
}

auto rejectRequest(HttpServerSharedState& shared, const std::shared_ptr<HttpServerConnectionState>& connection, HttpClient& client, HttpResponse response) -> asio::awaitable<void>
{
    HttpServerExchange exchange(shared, connection, client, {}, false);
    co_await exchange.respond(std::move(response));
    connection->active.reset();
    co_await discardRest(connection);
}

/// Runs the handler.
/// @return the exception that it threw; null if there is none.
auto runHandler(HttpServerSharedState& shared, HttpServerConnectionState& connection, HttpServerExchange& exchange) -> asio::awaitable<std::exception_ptr>
{
    std::exception_ptr thrown;
    connection.stream.expires_never();
    connection.exchange = &exchange;
    try {
        co_await shared.handler(exchange);
    } catch (...) {
        thrown = std::current_exception();
    }
    connection.exchange = nullptr;
    connection.closeCallback = nullptr;
    co_return thrown;
}

/// Runs the handler for one request and reports the close of the connection if it can't be reused.
/// @return whether the connection can be reused.
auto serveRequest(HttpServerSharedState& shared, const std::shared_ptr<HttpServerConnectionState>& connection, HttpClient& client, RequestParser& parser) -> asio::awaitable<bool>
{
    const auto keepAlive = parser.get().keep_alive();
    // A caller that does not read for a while still waits for its answer; the write timeout bounds that.
    tolerateSilence(connection->stream.socket());
    auto request = toRequest(parser.get());
    parser.get().clear();
    HttpServerExchange exchange(shared, connection, client, std::move(request), keepAlive, std::move(connection->bodyShare));
    const auto thrown = co_await runHandler(shared, *connection, exchange);
    const auto reason = thrown ? CloseReason::Exception : exchange.closeReason();
    const auto isHandlerAnswer = exchange.isAnswered();
    const auto hasStarted = exchange.hasStarted();
    if (reason && !hasStarted && !connection->isClosedByCaller)
        exchange.respondUnknownOutcome();
    co_await exchange.awaitUnknownOutcome();
    connection->active.reset();
    // The user timeout is not restored, because the end of the answer may still be in the send buffer. An idle connection
    // ends by its idle timeout or by lost probes.
    if (!reason)
        co_return true;
    shared.onConnectionClosed({ *reason, isHandlerAnswer ? nullptr : &exchange.request(), hasStarted, thrown ? exceptionText(thrown) : exchange.errorText() });
    co_return false;
}

/// @return the response to a request that was not read; nothing if there is none.
auto rejectionOf(HttpServerSharedState& shared, const ReadEnd& end, RequestParser& parser) -> std::optional<HttpResponse>
{
    if (end.lacksRoom)
        return shared.noRoomResponse(toRequest(parser.get()));
    const auto requestError = requestErrorOf(end.code);
    return requestError ? std::optional(errorResponse(*requestError)) : std::nullopt;
}

/// Releases what was read of a request that is rejected. Its caller may take a while to receive the response.
auto releaseRequest(HttpServerConnectionState& connection, RequestParser& parser) -> void
{
    parser.get().clear();
    parser.get().body() = std::string();
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    connection.headShare.resize(connectionBytes);
}

/// Serves requests until the connection has to be closed.
auto serveRequests(HttpServerSharedState& shared, const std::shared_ptr<HttpServerConnectionState>& connection, HttpClient& client) -> asio::awaitable<void>
{
    for (auto isReusable = true; isReusable;) {
        RequestParser parser;
        const auto end = co_await readRequest(shared, connection, parser);
        if (end) {
            auto rejection = rejectionOf(shared, *end, parser);
            releaseRequest(*connection, parser);
            if (rejection)
                co_await rejectRequest(shared, connection, client, std::move(*rejection));
            connection->active.reset();
            shared.onConnectionClosed({ end->reason, nullptr, false, end->code ? end->code.message() : std::string() });
            co_return;
        }
        isReusable = co_await serveRequest(shared, connection, client, parser);
    }
}

}

auto serveConnection(std::shared_ptr<HttpServerSharedState> shared, asio::ip::tcp::socket socket, HttpClient& client, std::unique_ptr<ActiveExchange> waiting, std::unique_ptr<ActiveExchange> open) -> asio::awaitable<void>
{
    setSocketOptions(socket, shared->settings.load()->tcpUserTimeout);
    const auto connection = std::make_shared<HttpServerConnectionState>(std::move(socket), shared->requestBudget);
    connection->accepted = std::move(waiting);
    {
        const RegisteredConnection registered(*shared, connection);
        co_await serveRequests(*shared, connection, client);
    }
    boost::system::error_code code;
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, code);
    connection->stream.close();
    open.reset();
}

}
