#include "HttpRequestReader.h"

#include "AwaitToken.h"
#include "Pause.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <iterator>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

auto hasUnreadBytes(HttpServerConnectionState& connection) -> bool
{
    boost::system::error_code code;
    return connection.stream.socket().available(code) > 0 && !code;
}

namespace {

/// @return whether the caller waits for an interim response before it sends the body.
auto awaitsContinue(const HttpServerConnectionState& connection, const RequestParser& parser) -> bool
{
    constexpr unsigned firstVersionWithExpect = 11;
    const auto& message = parser.get();
    return !parser.is_done() && connection.buffer.size() == 0 && message.version() >= firstVersionWithExpect && beast::iequals(message[http::field::expect], "100-continue");
}

/// @return the bytes that the rest of the body may take in memory: as stated, or, while its length is not known, what its
/// growth to the largest allowed one can take.
auto neededBytes(const RequestReading& body) -> std::size_t
{
    const auto stated = body.parser.content_length();
    return stated ? std::min<std::size_t>(*stated, body.settings.maxBodyBytes) : 2 * body.settings.maxBodyBytes;
}

/// Waits until the request budget has room for the body. The caller's data stays unread meanwhile, so that it stops sending.
/// @return false if there is none in time.
auto takeRoom(RequestReading& body) -> asio::awaitable<bool>
{
    // Callers allow a few seconds at most, and need most of them for the answer.
    constexpr Duration maxWait = std::chrono::milliseconds(300);
    constexpr Duration checkInterval = std::chrono::milliseconds(10);
    const auto until = monotonicNow() + maxWait;
    body.share = std::make_shared<RequestShare>(body.shared.requestBudget, neededBytes(body));
    while (!body.share->tryTake()) {
        if (monotonicNow() >= until) {
            body.share.reset();
            co_return false;
        }
        co_await pause(checkInterval);
    }
    co_return true;
}

/// @return whether what is known of the body has to be counted, and is not yet.
auto needsRoom(const RequestReading& body) -> bool
{
    if (!body.shared.requestBudget || body.share || body.parser.is_done())
        return false;
    const auto stated = body.parser.content_length();
    return (stated ? *stated : body.parser.get().body().size()) > RequestBudget::uncountedBytes;
}

/// Counts what the connection holds of the request without a large body.
/// @return false if there is no room for it.
auto holdHead(RequestReading& body) -> bool
{
    const auto& content = body.parser.get().body();
    const auto bodyBytes = body.share ? 0 : content.capacity();
    body.lacksRoom = !body.connection->headShare.resize(connectionBytes + body.connection->buffer.capacity() + heldBytes(body.head) + bodyBytes);
    return !body.lacksRoom;
}

/// Reads the header of a request.
auto readHeader(RequestReading& body) -> asio::awaitable<boost::system::error_code>
{
    auto& connection = *body.connection;
    const HeadSize limits { body.settings.maxHeaderBytes, body.settings.maxHeaderLines };
    const auto code = co_await readHead(connection.stream, connection.buffer, body.parser, body.head, limits, [&body] { return holdHead(body); });
    // Trailers and chunk extensions stay in the buffer until they are complete.
    connection.buffer.max_size(std::max(connection.buffer.size(), body.settings.maxHeaderBytes + firstReadBytes));
    co_return code;
}

/// Counts the trailers, which the parser adds to the header.
/// @return as holdHead().
auto holdTrailers(RequestReading& body) -> bool
{
    const auto& fields = body.parser.get();
    constexpr std::size_t linesBesideFields = 2;
    const auto lines = static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) + linesBesideFields;
    body.head.lines = std::max(body.head.lines, lines);
    return holdHead(body);
}

}

auto readMessage(RequestReading& body) -> asio::awaitable<boost::system::error_code>
{
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    auto& connection = *body.connection;
    auto& parser = body.parser;
    auto code = co_await readHeader(body);
    const auto awaitsInterim = !code && awaitsContinue(connection, parser);
    for (auto isFirst = true; !code && !body.lacksRoom && !parser.is_done(); isFirst = false) {
        if (needsRoom(body)) {
            const auto hasRoom = co_await takeRoom(body);
            body.lacksRoom = !hasRoom;
        }
        if (body.lacksRoom || !holdHead(body))
            co_return code;
        // What has arrived while the process was paused is still read.
        if (body.timer.hasTimedOut() && !hasUnreadBytes(connection))
            co_return beast::error::timeout;
        if (awaitsInterim && isFirst)
            co_await asio::async_write(connection.stream, asio::buffer(continueResponse), awaitInto(code));
        if (!code)
            co_await http::async_read_some(connection.stream, connection.buffer, parser, awaitInto(code));
    }
    if (body.share)
        body.share->shrink(parser.get().body().capacity());
    if (!code && !body.lacksRoom)
        holdTrailers(body);
    co_return code;
}

}
