#pragma once

/// Reads one request of a caller within its limits, and counts what it takes of the request budget. Private to the HTTP
/// library.

#include "HttpHead.h"
#include "HttpServerConnection.h"
#include "HttpServerConnectionState.h"
#include "ReadTimer.h"
#include "RequestShare.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace jayhold {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Bytes of one read while nothing of a request is known.
inline constexpr std::size_t firstReadBytes = 4'096;

/// A request while it is read.
struct RequestReading {
    HttpServerSharedState& shared;
    std::shared_ptr<HttpServerConnectionState> connection;
    RequestParser& parser;
    const ReadTimer& timer;
    const HttpServerSettings& settings;
    HeadSize head {};
    /// Null while the body takes no part of the request budget.
    std::shared_ptr<RequestShare> share = nullptr;
    bool lacksRoom = false;
};

/// @return whether bytes have arrived that were not read yet.
auto hasUnreadBytes(HttpServerConnectionState& connection) -> bool;

/// Reads a request, and asks its caller for the body if it waits for that.
/// @param request its references must outlive the coroutine.
/// @return the error that ended the reading; none if the request is complete or has no room.
auto readMessage(RequestReading& request) -> boost::asio::awaitable<boost::system::error_code>;

}
