#include "HttpServerExchange.h"

#include "AwaitToken.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

auto hasPeerClosed(HttpServerConnectionState& connection) -> bool
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

auto waitForClose(const std::shared_ptr<HttpServerConnectionState>& connection) -> void
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
        connection->isClosedByCaller = true;
        std::exchange(connection->closeCallback, nullptr)();
    });
}

}

HttpServerExchange::HttpServerExchange(HttpServerSharedState& shared, std::shared_ptr<HttpServerConnectionState> connection, HttpClient& client, HttpRequest request, bool keepAlive, std::shared_ptr<RequestShare> bodyShare)
    : m_shared(shared)
    , m_connection(std::move(connection))
    , m_client(client)
    , m_request(std::move(request))
    , m_bodyShare(std::move(bodyShare))
    , m_keepAlive(keepAlive)
{
}

template <typename Message>
auto HttpServerExchange::fillHeader(Message& message, unsigned status, const std::vector<HttpHeader>& headers) -> void
{
    if (m_shared.isDraining) {
        m_isClosedForDrain = m_isClosedForDrain || m_keepAlive;
        m_keepAlive = false;
    }
    message.version(11);
    message.result(status);
    for (const auto& header : headers)
        message.insert(header.name, header.value);
    message.keep_alive(m_keepAlive);
}

template <typename Message>
auto HttpServerExchange::setBody(Message& message, std::string&& body) -> void
{
    message.body() = std::move(body);
    message.prepare_payload();
    // The response to HEAD states the length of the body that GET would get, and has none.
    if (m_request.method == "HEAD")
        message.body().clear();
}

auto HttpServerExchange::takeBody() -> std::shared_ptr<const std::string>
{
    struct CountedBody {
        std::string text;
        std::shared_ptr<RequestShare> share;
    };
    const auto body = std::make_shared<CountedBody>(CountedBody { std::exchange(m_request.body, {}), std::move(m_bodyShare) });
    return { body, &body->text };
}

auto HttpServerExchange::respond(HttpResponse response) -> asio::awaitable<bool>
{
    if (m_failure)
        co_return false;
    http::response<http::string_body> message;
    fillHeader(message, response.status, response.headers);
    setBody(message, std::move(response.body));
    m_hasStarted = true;
    m_isFinishing = true;
    boost::system::error_code code;
    startWriteTimeout();
    co_await http::async_write(m_connection->stream, message, awaitInto(code));
    m_isComplete = true;
    co_return recordResult(code);
}

auto HttpServerExchange::startStream(unsigned status, std::vector<HttpHeader> headers) -> asio::awaitable<bool>
{
    if (m_failure)
        co_return false;
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

auto HttpServerExchange::write(std::string_view bodyPart) -> asio::awaitable<bool>
{
    if (m_failure)
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

auto HttpServerExchange::finishStream() -> asio::awaitable<bool>
{
    if (m_failure)
        co_return false;
    m_isFinishing = true;
    boost::system::error_code code;
    startWriteTimeout();
    co_await asio::async_write(m_connection->stream, http::make_chunk_last(), awaitInto(code));
    m_isComplete = true;
    co_return recordResult(code);
}

auto HttpServerExchange::abort() -> void
{
    m_failure = m_failure.value_or(CloseReason::Aborted);
    m_connection->closeCallback = nullptr;
    m_connection->stream.close();
}

auto HttpServerExchange::onClose(std::function<void()> callback) -> void
{
    m_connection->closeCallback = std::move(callback);
    waitForClose(m_connection);
}

auto HttpServerExchange::end() -> void
{
    if (m_isFinishing || m_failure)
        return;
    ++m_shared.endedExchanges;
    m_failure = CloseReason::Drain;
    if (m_hasStarted)
        abort();
    else
        respondUnknownOutcome();
    // The handler may run on for long, but nobody waits for it any more.
    if (!m_unknownOutcomeWritten)
        m_connection->active.reset();
}

auto HttpServerExchange::respondUnknownOutcome() -> void
{
    if (m_hasStarted || !m_connection->stream.socket().is_open())
        return;
    m_failure = m_failure.value_or(CloseReason::Aborted);
    m_keepAlive = false;
    auto response = m_shared.unknownOutcomeResponse();
    const auto message = std::make_shared<http::response<http::string_body>>();
    fillHeader(*message, response.status, response.headers);
    setBody(*message, std::move(response.body));
    m_hasStarted = true;
    m_unknownOutcomeWritten.emplace(executor(), asio::steady_timer::time_point::max());
    startWriteTimeout();
    http::async_write(m_connection->stream, *message, [this, message](boost::system::error_code code, std::size_t) {
        m_errorText = code ? code.message() : std::string();
        m_unknownOutcomeWritten->cancel();
        m_isUnknownOutcomeWritten = true;
        m_connection->active.reset();
    });
}

auto HttpServerExchange::awaitUnknownOutcome() -> asio::awaitable<void>
{
    boost::system::error_code code;
    if (m_unknownOutcomeWritten && !m_isUnknownOutcomeWritten)
        co_await m_unknownOutcomeWritten->async_wait(awaitInto(code));
}

auto HttpServerExchange::closeReason() const -> std::optional<CloseReason>
{
    if (!isAnswered() && m_connection->isClosedByCaller)
        return CloseReason::CallerClosed;
    if (m_failure)
        return m_failure;
    if (!m_isComplete)
        return CloseReason::Aborted;
    if (m_keepAlive)
        return std::nullopt;
    return m_isClosedForDrain ? CloseReason::Drain : CloseReason::CallerAskedForClose;
}

auto HttpServerExchange::startWriteTimeout() -> void
{
    m_connection->stream.expires_after(m_shared.settings.load()->writeTimeout);
}

auto HttpServerExchange::recordResult(const boost::system::error_code& code) -> bool
{
    if (code && !m_failure) {
        m_failure = CloseReason::WriteFailed;
        m_errorText = code.message();
    }
    return !m_failure;
}

}
