#include "HttpServerConnection.h"

#include "AwaitToken.h"
#include "HttpConnection.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Socket state, which outlives the exchange while a wait for the close of the connection is pending.
struct ConnectionState {
    explicit ConnectionState(asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Called when the caller closes the connection; empty if no exchange has set a callback.
    std::function<void()> closeCallback;
    bool isWaitingForClose = false;
    /// Whether the connection waits for the first byte of a request.
    bool isIdle = false;
};

auto hasPeerClosed(ConnectionState& connection) -> bool
{
    char byte = 0;
    boost::system::error_code code;
    auto& socket = connection.stream.socket();
    socket.non_blocking(true, code);
    const auto size = socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    if (code == asio::error::would_block)
        return false;
    return code || size == 0;
}

auto waitForClose(const std::shared_ptr<ConnectionState>& connection) -> void
{
    if (connection->isWaitingForClose)
        return;
    connection->isWaitingForClose = true;
    connection->stream.socket().async_wait(asio::socket_base::wait_read, [connection](boost::system::error_code code) {
        connection->isWaitingForClose = false;
        if (!connection->closeCallback)
            return;
        // Readable data that is not the end of the stream is the next pipelined request; it is not read
        // here.
        if (!code && !hasPeerClosed(*connection))
            return;
        std::exchange(connection->closeCallback, nullptr)();
    });
}

class ServerExchange final : public HttpExchange {
public:
    ServerExchange(HttpServerSharedState& shared, std::shared_ptr<ConnectionState> connection, HttpClient& client, HttpRequest request, bool keepAlive)
        : m_shared(shared)
        , m_connection(std::move(connection))
        , m_client(client)
        , m_request(std::move(request))
        , m_keepAlive(keepAlive)
    {
    }

    auto request() const -> const HttpRequest& override { return m_request; }
    auto hasStarted() const -> bool override { return m_hasStarted; }
    auto executor() -> asio::any_io_executor override { return m_connection->stream.get_executor(); }
    auto client() -> HttpClient& override { return m_client; }
    auto isReusable() const -> bool { return m_keepAlive && m_isComplete && !m_hasFailed; }

    auto respond(HttpResponse response) -> asio::awaitable<bool> override
    {
        http::response<http::string_body> message;
        fillHeader(message, response.status, response.headers);
        message.body() = std::move(response.body);
        message.prepare_payload();
        m_hasStarted = true;
        boost::system::error_code code;
        startWriteTimeout();
        co_await http::async_write(m_connection->stream, message, awaitInto(code));
        m_isComplete = true;
        co_return recordResult(code);
    }

    auto startStream(unsigned status, std::vector<HttpHeader> headers) -> asio::awaitable<bool> override
    {
        http::response<http::empty_body> message;
        fillHeader(message, status, headers);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        m_hasStarted = true;
        boost::system::error_code code;
        startWriteTimeout();
        co_await http::async_write_header(m_connection->stream, serializer, awaitInto(code));
        co_return recordResult(code);
    }

    auto write(std::string_view bodyPart) -> asio::awaitable<bool> override
    {
        if (m_hasFailed)
            co_return false;
        const auto chunk = http::make_chunk(asio::buffer(bodyPart.data(), bodyPart.size()));
        boost::system::error_code code;
        // A chunk nearly always fits into the socket's send buffer. A synchronous write then needs
        // neither a timer nor a pass of the event loop, which together cost more than the write.
        auto& socket = m_connection->stream.socket();
        socket.non_blocking(true, code);
        const auto sent = socket.write_some(chunk, code);
        if (code && code != asio::error::would_block)
            co_return recordResult(code);
        const auto total = beast::buffer_bytes(chunk);
        if (sent == total)
            co_return true;
        startWriteTimeout();
        beast::buffers_suffix rest(chunk);
        rest.consume(sent);
        co_await asio::async_write(m_connection->stream, rest, awaitInto(code));
        co_return recordResult(code);
    }

    auto finishStream() -> asio::awaitable<bool> override
    {
        if (m_hasFailed)
            co_return false;
        boost::system::error_code code;
        startWriteTimeout();
        co_await asio::async_write(m_connection->stream, http::make_chunk_last(), awaitInto(code));
        m_isComplete = true;
        co_return recordResult(code);
    }

    auto abort() -> void override
    {
        m_hasFailed = true;
        m_connection->closeCallback = nullptr;
        m_connection->stream.close();
    }

    auto onClose(std::function<void()> callback) -> void override
    {
        m_connection->closeCallback = std::move(callback);
        waitForClose(m_connection);
    }

private:
    template <typename Message>
    auto fillHeader(Message& message, unsigned status, const std::vector<HttpHeader>& headers) -> void
    {
        if (m_shared.isDraining)
            m_keepAlive = false;
        message.version(11);
        message.result(status);
        for (const auto& header : headers)
            message.insert(header.name, header.value);
        message.keep_alive(m_keepAlive);
    }

    auto startWriteTimeout() -> void { m_connection->stream.expires_after(m_shared.settings.load()->writeTimeout); }

    auto recordResult(const boost::system::error_code& code) -> bool
    {
        if (code)
            m_hasFailed = true;
        return !m_hasFailed;
    }

    HttpServerSharedState& m_shared;
    std::shared_ptr<ConnectionState> m_connection;
    HttpClient& m_client;
    const HttpRequest m_request;
    bool m_keepAlive;
    bool m_hasStarted = false;
    bool m_isComplete = false;
    bool m_hasFailed = false;
};

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

/// Counts an exchange for as long as its handler runs.
struct ActiveExchange {
    explicit ActiveExchange(std::atomic<std::size_t>& total)
        : counter(total)
    {
        ++counter;
    }
    ~ActiveExchange() { --counter; }
    ActiveExchange(const ActiveExchange&) = delete;
    auto operator=(const ActiveExchange&) -> ActiveExchange& = delete;

    std::atomic<std::size_t>& counter;
};

using RequestParser = http::request_parser<http::string_body>;

/// Cancels a read after a timeout but leaves the socket open, so that an error response can still be
/// sent; the timeout of the stream would close the socket.
class ReadTimer {
public:
    ReadTimer(std::shared_ptr<ConnectionState> connection, Duration timeout)
        : m_state(std::make_shared<State>(std::move(connection)))
        , m_timer(m_state->connection->stream.get_executor(), timeout)
    {
        m_timer.async_wait([state = m_state](boost::system::error_code code) {
            if (code || state->isFinished)
                return;
            state->hasTimedOut = true;
            state->connection->stream.cancel();
        });
    }
    ~ReadTimer() { m_state->isFinished = true; }
    ReadTimer(const ReadTimer&) = delete;
    auto operator=(const ReadTimer&) -> ReadTimer& = delete;

    auto hasTimedOut() const -> bool { return m_state->hasTimedOut; }

private:
    struct State {
        explicit State(std::shared_ptr<ConnectionState> connectionState)
            : connection(std::move(connectionState))
        {
        }

        const std::shared_ptr<ConnectionState> connection;
        bool isFinished = false;
        bool hasTimedOut = false;
    };

    const std::shared_ptr<State> m_state;
    asio::steady_timer m_timer;
};

/// Waits for the first byte of a request. When the idle timeout ends, its current value is checked
/// again: it may have been raised, and callers that know the new value still use the connection.
auto waitForFirstByte(HttpServerSharedState& shared, const std::shared_ptr<ConnectionState>& connection) -> asio::awaitable<boost::system::error_code>
{
    constexpr std::size_t firstReadBytes = 4'096;
    const auto startedAt = monotonicNow();
    while (!shared.closesIdleConnections) {
        const auto remaining = startedAt + shared.settings.load()->idleTimeout - monotonicNow();
        if (remaining <= Duration::zero())
            break;
        const ReadTimer timer(connection, remaining);
        boost::system::error_code code;
        const auto space = connection->buffer.prepare(firstReadBytes);
        connection->isIdle = true;
        const auto size = co_await connection->stream.async_read_some(space, awaitInto(code));
        connection->isIdle = false;
        if (code == asio::error::operation_aborted)
            continue;
        connection->buffer.commit(size);
        co_return code;
    }
    co_return http::error::end_of_stream;
}

/// Waits for a request: up to the idle timeout for its first byte, then up to the read timeout
/// for the rest.
auto readRequest(HttpServerSharedState& shared, const std::shared_ptr<ConnectionState>& connection, RequestParser& parser) -> asio::awaitable<boost::system::error_code>
{
    boost::system::error_code code;
    connection->stream.expires_never();
    if (connection->buffer.size() == 0)
        code = co_await waitForFirstByte(shared, connection);
    if (code)
        co_return code;
    const auto settings = shared.settings.load();
    parser.header_limit(static_cast<std::uint32_t>(settings->maxHeaderBytes));
    parser.body_limit(settings->maxBodyBytes);
    const ReadTimer timer(connection, settings->readTimeout);
    co_await http::async_read(connection->stream, connection->buffer, parser, awaitInto(code));
    if (code && timer.hasTimedOut())
        code = beast::error::timeout;
    co_return code;
}

/// Registers a connection, so that it can be woken while it waits for a request.
class RegisteredConnection {
public:
    RegisteredConnection(HttpServerSharedState& shared, const std::shared_ptr<ConnectionState>& connection)
        : m_shared(shared)
        , m_key(shared.connections.add([weak = std::weak_ptr(connection), executor = connection->stream.get_executor()] {
            asio::post(executor, [weak] {
                const auto woken = weak.lock();
                if (woken && woken->isIdle)
                    woken->stream.cancel();
            });
        }))
    {
    }
    ~RegisteredConnection() { m_shared.connections.remove(m_key); }
    RegisteredConnection(const RegisteredConnection&) = delete;
    auto operator=(const RegisteredConnection&) -> RegisteredConnection& = delete;

private:
    HttpServerSharedState& m_shared;
    const std::uint64_t m_key;
};

auto rejectRequest(HttpServerSharedState& shared, const std::shared_ptr<ConnectionState>& connection, HttpClient& client, const RequestError& requestError) -> asio::awaitable<void>
{
    ServerExchange exchange(shared, connection, client, {}, false);
    co_await exchange.respond(errorResponse(requestError));
}

}

auto serveConnection(std::shared_ptr<HttpServerSharedState> shared, asio::ip::tcp::socket socket, HttpClient& client) -> asio::awaitable<void>
{
    boost::system::error_code code;
    setSocketOptions(socket, shared->settings.load()->tcpUserTimeout);
    const auto connection = std::make_shared<ConnectionState>(std::move(socket));
    const RegisteredConnection registered(*shared, connection);
    for (auto reusable = true; reusable;) {
        RequestParser parser;
        code = co_await readRequest(*shared, connection, parser);
        if (code) {
            if (const auto requestError = requestErrorOf(code))
                co_await rejectRequest(*shared, connection, client, *requestError);
            break;
        }
        const auto keepAlive = parser.get().keep_alive();
        ServerExchange exchange(*shared, connection, client, toRequest(parser.get()), keepAlive);
        {
            const ActiveExchange active(shared->activeExchanges);
            connection->stream.expires_never();
            co_await shared->handler(exchange);
        }
        connection->closeCallback = nullptr;
        reusable = exchange.isReusable();
    }
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, code);
    connection->stream.close();
}

}
