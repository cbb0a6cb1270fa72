#include "HttpStream.h"

#include "AwaitToken.h"
#include "HttpConnection.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

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

auto HttpStream::readSome(Duration timeout) -> asio::awaitable<HttpResult<std::string_view>>
{
    auto& connection = *m_connection;
    auto& parser = *connection.parser;
    while (!connection.isClosed) {
        if (parser.is_done())
            co_return std::string_view {};
        auto& body = parser.get().body();
        body.data = connection.piece.data();
        body.size = connection.piece.size();
        connection.stream.expires_after(timeout);
        boost::system::error_code code;
        co_await http::async_read_some(connection.stream, connection.buffer, parser, awaitInto(code));
        if (connection.isClosed)
            break;
        if (code && code != http::error::need_buffer)
            co_return httpErrorOf(code);
        const auto size = connection.piece.size() - body.size;
        if (size > 0)
            co_return std::string_view(connection.piece.data(), size);
    }
    co_return HttpError { HttpErrorKind::Cancelled, "the stream was closed" };
}

auto HttpStream::close() -> void
{
    m_connection->isClosed = true;
    m_connection->stream.close();
}

auto httpErrorOf(const boost::system::error_code& code) -> HttpError
{
    if (code == beast::error::timeout)
        return { HttpErrorKind::TimedOut, code.message() };
    const auto& category = code.category();
    if (category == http::make_error_code(http::error::bad_version).category()
        && code != http::error::end_of_stream && code != http::error::partial_message)
        return { HttpErrorKind::MalformedAnswer, code.message() };
    return { HttpErrorKind::ConnectionLost, code.message() };
}

}
