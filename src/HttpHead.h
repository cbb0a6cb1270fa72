#pragma once

/// Reads the head of an HTTP message within limits. The parser's own limit covers only the bytes that it has not consumed
/// yet, so header lines that arrive one after another would escape it. Private to the HTTP library.

#include "AwaitToken.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

namespace jayhold {

/// The size of a head, or its limits: bytes on the wire and lines, with the first and the last one.
struct HeadSize {
    std::size_t bytes = 0;
    std::size_t lines = 0;
};

/// @return what a head of this size takes while it is held, in bytes. Each header line is kept by the parser, in a copy for
/// the handler, in the forwarded message and in the message that is sent, each with its own strings.
inline auto heldBytes(const HeadSize& head) -> std::size_t
{
    constexpr std::size_t bytesPerLine = 512;
    constexpr std::size_t copies = 4;
    return head.lines * bytesPerLine + head.bytes * copies;
}

/// @return the name of the limit that a head exceeds, for logs and metrics.
inline auto exceededLimit(const HeadSize& head, const HeadSize& limits) -> std::string_view
{
    return head.lines > limits.lines ? "header_lines" : "header_bytes";
}

/// Parses the received bytes of a head that is not complete.
/// @param head increased by what is consumed.
/// @return error::need_more if the head goes on, and error::header_limit if it exceeds the limits.
template <typename Parser>
auto parseHead(boost::beast::flat_buffer& buffer, Parser& parser, HeadSize& head, const HeadSize& limits) -> boost::system::error_code
{
    namespace http = boost::beast::http;
    boost::system::error_code code;
    const auto received = buffer.data();
    const std::string_view text(static_cast<const char*>(received.data()), received.size());
    const auto consumed = parser.put(received, code);
    head.bytes += consumed;
    head.lines += static_cast<std::size_t>(std::ranges::count(text.substr(0, consumed), '\n'));
    buffer.consume(consumed);
    if (code && code != http::error::need_more)
        return code;
    const auto pendingBytes = parser.is_header_done() ? 0 : buffer.size();
    if (head.bytes + pendingBytes > limits.bytes || head.lines > limits.lines)
        return http::error::header_limit;
    return code;
}

/// Reads a head.
/// @param head increased by what is read; must outlive the coroutine, as the other references.
/// @param mayHold called after each part with the head as far as it was read; returns false to end the reading.
/// @return the error that ended the reading; none if the head is complete or mayHold() has returned false.
template <typename Parser, typename MayHold>
auto readHead(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, HeadSize& head, HeadSize limits, MayHold mayHold) -> boost::asio::awaitable<boost::system::error_code>
{
    namespace http = boost::beast::http;
    constexpr std::size_t readBytes = 4'096;
    while (true) {
        boost::system::error_code code;
        if (buffer.size() > 0) {
            code = parseHead(buffer, parser, head, limits);
            if (code && code != http::error::need_more)
                co_return code;
            code = {};
            if (!mayHold() || parser.is_header_done())
                co_return code;
        }
        const auto space = buffer.prepare(readBytes);
        const auto size = co_await stream.async_read_some(space, awaitInto(code));
        buffer.commit(size);
        if (code == boost::asio::error::eof)
            code = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        if (code)
            co_return code;
    }
}

}
