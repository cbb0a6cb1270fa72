#pragma once

/// The socket of one connection of an HttpServer. Private to the HTTP library.

#include "ActiveExchange.h"
#include "HeadShare.h"
#include "RequestShare.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace jayhold {

class HttpServerExchange;

/// Socket state, which outlives the exchange while a wait for the close of the connection is pending.
struct HttpServerConnectionState {
    /// @param budget null if the memory of requests is not limited.
    HttpServerConnectionState(boost::asio::ip::tcp::socket socket, std::shared_ptr<RequestBudget> budget)
        : stream(std::move(socket))
        , headShare(std::move(budget))
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// Called when the caller closes the connection; empty if no exchange has set a callback.
    std::function<void()> closeCallback;
    bool isWaitingForClose = false;
    /// Whether the caller closed the connection during an exchange.
    bool isClosedByCaller = false;
    /// Counts the connection as waiting from its acceptance until it waits for its first request.
    std::unique_ptr<ActiveExchange> accepted;
    /// Whether a part of a request has arrived since the connection was accepted.
    bool hasCarriedRequest = false;
    /// What the connection and the head of its request take of the request budget.
    HeadShare headShare;
    /// Part of the request budget that the body of the request takes which was read last; null if it takes none.
    std::shared_ptr<RequestShare> bodyShare;
    /// Counts the connection as active from the first byte of a request until it is answered.
    std::optional<ActiveExchange> active;
    /// The exchange whose handler is running; null if there is none.
    HttpServerExchange* exchange = nullptr;
    /// Whether the connection waits for the first byte of a request.
    bool isIdle = false;
};

}
