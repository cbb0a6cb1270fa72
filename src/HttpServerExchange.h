#pragma once

/// One exchange on a connection of an HttpServer. Private to the HTTP library.

#include "ConnectionClose.h"
#include "HttpExchange.h"
#include "HttpServerConnection.h"
#include "HttpServerConnectionState.h"
#include "RequestShare.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace jayhold {

class HttpServerExchange final : public HttpExchange {
public:
    /// @param bodyShare part of the request budget that the body takes; null if it takes none.
    HttpServerExchange(HttpServerSharedState& shared, std::shared_ptr<HttpServerConnectionState> connection, HttpClient& client, HttpRequest request, bool keepAlive, std::shared_ptr<RequestShare> bodyShare = nullptr);

    auto request() const -> const HttpRequest& override { return m_request; }
    auto hasStarted() const -> bool override { return m_hasStarted; }
    auto executor() -> boost::asio::any_io_executor override { return m_connection->stream.get_executor(); }
    auto client() -> HttpClient& override { return m_client; }
    auto takeBody() -> std::shared_ptr<const std::string> override;
    auto respond(HttpResponse response) -> boost::asio::awaitable<bool> override;
    auto startStream(unsigned status, std::vector<HttpHeader> headers) -> boost::asio::awaitable<bool> override;
    auto write(std::string_view bodyPart) -> boost::asio::awaitable<bool> override;
    auto finishStream() -> boost::asio::awaitable<bool> override;
    auto abort() -> void override;
    auto onClose(std::function<void()> callback) -> void override;

    /// Ends the exchange while its handler runs, as HttpServer::endOpenExchanges() describes. Later responses of
    /// the handler are discarded.
    auto end() -> void;

    /// Starts to send the response for an unknown outcome, unless a response has begun or the connection is
    /// closed.
    auto respondUnknownOutcome() -> void;

    /// Waits until the response for an unknown outcome is written.
    auto awaitUnknownOutcome() -> boost::asio::awaitable<void>;

    /// @return whether the complete response was handed to the operating system.
    auto isAnswered() const -> bool { return m_isComplete && !m_failure; }

    /// @return why the connection has to be closed after the handler has ended; nothing if it can be reused.
    auto closeReason() const -> std::optional<CloseReason>;

    /// @return the error of a failed write, for the log; empty if there was none.
    auto errorText() const -> const std::string& { return m_errorText; }

private:
    template <typename Message>
    auto fillHeader(Message& message, unsigned status, const std::vector<HttpHeader>& headers) -> void;
    /// Sets the body of a complete response and the fields for its length.
    template <typename Message>
    auto setBody(Message& message, std::string&& body) -> void;
    auto startWriteTimeout() -> void;
    auto recordResult(const boost::system::error_code& code) -> bool;

    HttpServerSharedState& m_shared;
    std::shared_ptr<HttpServerConnectionState> m_connection;
    HttpClient& m_client;
    HttpRequest m_request;
    std::shared_ptr<RequestShare> m_bodyShare;
    bool m_keepAlive;
    bool m_isClosedForDrain = false;
    bool m_hasStarted = false;
    /// Whether a complete response, or the end of a stream, is being sent or was sent.
    bool m_isFinishing = false;
    bool m_isComplete = false;
    /// Exists once the response for an unknown outcome is being sent; cancelled when it is written.
    std::optional<boost::asio::steady_timer> m_unknownOutcomeWritten;
    bool m_isUnknownOutcomeWritten = false;
    std::optional<CloseReason> m_failure;
    std::string m_errorText;
};

}
