#include "HttpStream.h"

#include "AwaitToken.h"
#include "ConnectionPool.h"
#include "HttpConnection.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using ReadTimerPointer = std::shared_ptr<HttpStream::Connection::ReadTimer>;

auto armTimer(const ReadTimerPointer& readTimer) -> void
{
    readTimer->armedDeadline = readTimer->deadline;
    readTimer->timer.expires_at(readTimer->armedDeadline);
    readTimer->timer.async_wait([readTimer](const boost::system::error_code& code) {
        if (code || !readTimer->connection)
            return;
        readTimer->armedDeadline = TimePoint::max();
        if (readTimer->deadline == TimePoint::max())
            return;
        if (monotonicNow() < readTimer->deadline) {
            armTimer(readTimer);
            return;
        }
        // A read of a closed stream has already ended, and its socket can't be cancelled.
        if (readTimer->connection->isClosed)
            return;
        readTimer->hasTimedOut = true;
        readTimer->connection->stream.socket().cancel();
    });
}

auto setDeadline(const ReadTimerPointer& readTimer, TimePoint deadline) -> void
{
    readTimer->deadline = deadline;
    if (readTimer->deadline < readTimer->armedDeadline)
        armTimer(readTimer);
}

/// Ends the read of a response for which the budget has no room. Its connection may be gone by then.
auto endRead(const ReadTimerPointer& readTimer) -> void
{
    if (!readTimer->connection || readTimer->connection->isClosed)
        return;
    readTimer->isOverBudget = true;
    readTimer->connection->stream.socket().cancel();
}

/// @return the capacity for a body of the given size. Growth is exponential, within the limits that are known.
auto bodyCapacity(const HttpStream::Connection& connection, const std::string& body, std::size_t size, std::size_t maxBodyBytes) -> std::size_t
{
    const auto stated = connection.parser->content_length();
    const auto most = stated ? std::min<std::size_t>(*stated, maxBodyBytes) : maxBodyBytes;
    return std::max(size, std::min(2 * body.capacity(), most));
}

/// Parses the received bytes.
/// @return number of body bytes in the chunk.
auto parseBuffered(HttpStream::Connection& connection, boost::system::error_code& code) -> std::size_t
{
    auto& parser = *connection.parser;
    auto& body = parser.get().body();
    body.data = connection.chunk.data();
    body.size = connection.chunk.size();
    while (connection.buffer.size() > 0 && !parser.is_done() && body.size > 0) {
        const auto consumed = parser.put(connection.buffer.data(), code);
        connection.buffer.consume(consumed);
        const auto needsMore = code == http::error::need_more || code == http::error::need_buffer;
        if (needsMore)
            code = {};
        if (code || needsMore || consumed == 0)
            break;
    }
    return connection.chunk.size() - body.size;
}

}

auto HttpStream::Connection::close() -> void
{
    if (isClosed)
        return;
    isClosed = true;
    if (!hasCall || (parser && parser->is_done()))
        setResetsOnClose(stream.socket(), false);
    stream.close();
}

auto HttpStream::Connection::hold() -> bool
{
    // Few received bytes wait to be parsed, except within a trailer or a chunk extension.
    const auto unparsedBytes = buffer.size() > readBufferBytes ? buffer.capacity() : 0;
    const auto bytes = headBytes + bodyBytes + unparsedBytes;
    if (!share) {
        if (bytes <= ResponseBudget::uncountedBytes)
            return true;
        share = std::make_shared<ResponseShare>(responseBudget, toString(key.endpoint), [executor = stream.get_executor(), timer = readTimer] {
            asio::post(executor, [timer] { endRead(timer); });
        });
    }
    return share->resize(bytes);
}

HttpStream::HttpStream(std::unique_ptr<Connection> connection)
    : m_connection(std::move(connection))
{
}

HttpStream::~HttpStream() = default;

auto HttpStream::status() const -> unsigned
{
    return m_connection->parser->get().result_int();
}

auto HttpStream::headers() const -> const std::vector<HttpHeader>&
{
    return m_connection->headers;
}

auto HttpStream::localPort() const -> std::uint16_t
{
    boost::system::error_code code;
    const auto local = m_connection->stream.socket().local_endpoint(code);
    return code ? std::uint16_t { 0 } : local.port();
}

auto HttpStream::readSome(Duration timeout) -> asio::awaitable<HttpResult<std::string_view>>
{
    auto& connection = *m_connection;
    auto& parser = *connection.parser;
    // The stream's timeout covers only the header. From here on the read timer applies.
    connection.stream.expires_never();
    setDeadline(connection.readTimer, monotonicNow() + timeout);
    while (!connection.isClosed) {
        boost::system::error_code code;
        const auto size = parseBuffered(connection, code);
        if (code)
            co_return httpErrorOf(code);
        if (size > 0 || parser.is_done()) {
            // Trailers are not used.
            if (parser.is_done())
                parser.get().clear();
            connection.readTimer->deadline = TimePoint::max();
            co_return std::string_view(connection.chunk.data(), size);
        }
        if (connection.buffer.size() + Connection::readBufferBytes > connection.buffer.max_size()) {
            connection.onLimitReached(connection.key.endpoint, "trailers");
            co_return HttpError { HttpErrorKind::MalformedAnswer, "a part of the response is larger than allowed" };
        }
        if (connection.buffer.size() > Connection::readBufferBytes && !connection.hold())
            co_return overBudgetError();
        const auto space = connection.buffer.prepare(Connection::readBufferBytes);
        const auto received = co_await connection.stream.socket().async_read_some(space, awaitInto(code));
        if (connection.isClosed)
            break;
        if (connection.readTimer->isOverBudget)
            co_return overBudgetError();
        if (connection.readTimer->hasTimedOut)
            co_return httpErrorOf(beast::error::timeout);
        connection.buffer.commit(received);
        if (code == asio::error::eof && connection.hasFailedWrite)
            code = asio::error::connection_reset;
        if (code == asio::error::eof)
            parser.put_eof(code);
        if (code)
            co_return httpErrorOf(code);
    }
    co_return HttpError { HttpErrorKind::Cancelled, "the stream was closed" };
}

auto HttpStream::readAll(std::size_t maxBodyBytes, TimePoint deadline) -> asio::awaitable<HttpResult<HttpResponse>>
{
    const HttpError tooLarge { HttpErrorKind::MalformedAnswer, "the body is larger than allowed" };
    const auto& parser = *m_connection->parser;
    if (!parser.is_done() && parser.content_length() > maxBodyBytes)
        co_return tooLarge;
    HttpResponse response { status(), headers(), {} };
    auto& body = response.body;
    while (true) {
        const auto chunk = co_await readSome(std::max(deadline - monotonicNow(), Duration(1)));
        if (chunk.has_error())
            co_return chunk.error();
        if (chunk->empty())
            break;
        const auto size = body.size() + chunk->size();
        if (size > maxBodyBytes)
            co_return tooLarge;
        if (size > body.capacity()) {
            const auto capacity = bodyCapacity(*m_connection, body, size, maxBodyBytes);
            if (auto error = hold(capacity))
                co_return std::move(*error);
            body.reserve(capacity);
        }
        body += *chunk;
    }
    // The bytes stay counted until the response has been used, because its caller may read slowly.
    if (m_connection->share && m_connection->share->complete())
        response.share = std::move(m_connection->share);
    co_return response;
}

auto HttpStream::hold(std::size_t bytes) -> std::optional<HttpError>
{
    m_connection->bodyBytes = bytes;
    return m_connection->hold() ? std::nullopt : std::optional(overBudgetError());
}

auto HttpStream::release() -> void
{
    auto connection = std::move(m_connection);
    // A share that is still here was ended, and the connection's next read would be.
    if (connection->share && !connection->share->complete())
        return;
    connection->share.reset();
    connection->headBytes = 0;
    connection->bodyBytes = 0;
    if (connection->buffer.capacity() > 2 * Connection::readBufferBytes)
        connection->buffer.shrink_to_fit();
    const auto pool = connection->pool.lock();
    const auto isComplete = !connection->isClosed && connection->parser->is_done() && connection->buffer.size() == 0 && connection->isReusable;
    if (!pool || !isComplete || !connection->parser->keep_alive())
        return;
    restoreUserTimeout(connection->stream.socket(), std::exchange(connection->suspendedUserTimeout, {}));
    pool->returnIdle(std::move(connection), monotonicNow());
}

auto HttpStream::close() -> void
{
    if (!m_connection)
        return;
    m_connection->close();
}

auto overBudgetError() -> HttpError
{
    return { HttpErrorKind::MalformedAnswer, "ended because the responses together are larger than allowed" };
}

auto httpErrorOf(const boost::system::error_code& code) -> HttpError
{
    if (code == beast::error::timeout)
        return { HttpErrorKind::TimedOut, code.message() };
    if (code == asio::error::operation_aborted)
        return { HttpErrorKind::Cancelled, code.message() };
    const auto& category = code.category();
    if (category == http::make_error_code(http::error::bad_version).category()
        && code != http::error::end_of_stream && code != http::error::partial_message)
        return { HttpErrorKind::MalformedAnswer, code.message() };
    return { HttpErrorKind::ConnectionLost, code.message() };
}

}
