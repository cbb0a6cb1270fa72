#pragma once

/// The socket and buffers behind HttpClient and HttpStream; private to the two.

#include "HttpStream.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <optional>

namespace jayhold {

struct HttpStream::Connection {
    explicit Connection(boost::asio::io_context& context)
        : stream(context)
    {
    }

    static constexpr std::size_t pieceBytes = 16'384;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser;
    std::vector<HttpHeader> headers;
    std::array<char, pieceBytes> piece {};
    bool isClosed = false;
};

/// @return the typed error for a failure after the request was, or may have been, sent.
auto httpErrorOf(const boost::system::error_code& code) -> HttpError;

/// Copies the header fields of a Beast message.
template <typename Fields>
auto copyHeaders(const Fields& fields) -> std::vector<HttpHeader>
{
    std::vector<HttpHeader> headers;
    for (const auto& field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

}
