#pragma once

/// One connection of an HttpServer: reads requests, passes them to the handler and rejects those
/// that are malformed, oversized or slow.

#include "ActiveExchange.h"
#include "ConnectionRegistry.h"
#include "HttpServer.h"
#include "SharedValue.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>

namespace jayhold {

/// State that all connections of one server share.
struct HttpServerSharedState {
    HttpServerSharedState(const HttpServerSettings& serverSettings, HttpHandler serverHandler)
        : settings(std::make_shared<const HttpServerSettings>(serverSettings))
        , handler(std::move(serverHandler))
        , onConnectionClosed(serverSettings.onConnectionClosed)
        , onLimitReached(serverSettings.onLimitReached)
        , unknownOutcomeResponse(serverSettings.unknownOutcomeResponse)
        , requestBudget(serverSettings.requestBudget)
        , noRoomResponse(serverSettings.noRoomResponse)
    {
    }

    SharedValue<HttpServerSettings> settings;
    const HttpHandler handler;
    const std::function<void(const ConnectionClose&)> onConnectionClosed;
    const std::function<void(std::string_view)> onLimitReached;
    const std::function<HttpResponse()> unknownOutcomeResponse;
    const std::shared_ptr<RequestBudget> requestBudget;
    const std::function<HttpResponse(const HttpRequest&)> noRoomResponse;
    std::atomic<std::size_t> activeExchanges { 0 };
    /// Connections that wait for the first byte of a request, including those in the listen queue as one while the
    /// server stops accepting.
    std::atomic<std::size_t> waitingConnections { 0 };
    std::atomic<std::size_t> endedExchanges { 0 };
    /// All connections, from their acceptance until they are closed.
    std::atomic<std::size_t> openConnections { 0 };
    /// Whether connections have reached their limit. Those that carry no request then have less time for their first one.
    std::atomic<bool> isCrowded { false };
    std::atomic<bool> isDraining { false };
    std::atomic<bool> closesIdleConnections { false };
    /// Wakes the connections that wait for a request.
    ConnectionRegistry connections;
    /// Ends the exchanges whose handler is running.
    ConnectionRegistry exchanges;
};

/// Memory of a connection without a request: its socket, buffers and coroutines.
inline constexpr std::size_t connectionBytes = 12'288;

/// Serves a connection until it closes.
/// @param waiting counts the accepted connection as waiting until it does so itself.
/// @param open counts the connection as open.
auto serveConnection(std::shared_ptr<HttpServerSharedState> shared, boost::asio::ip::tcp::socket socket, HttpClient& client, std::unique_ptr<ActiveExchange> waiting, std::unique_ptr<ActiveExchange> open) -> boost::asio::awaitable<void>;

}
