#pragma once

/// Forwards an engine's events to the caller unchanged, with the header fields of the engine that sent the
/// first event. If a response cannot be completed, the connection is aborted, so that a truncated response
/// never looks complete.

#include "CallerProtocol.h"
#include "HttpExchange.h"
#include "ResponseWriter.h"

#include <string>

namespace jayhold {

class PassThroughWriter final : public ResponseWriter {
public:
    PassThroughWriter(HttpExchange& exchange, const CallerProtocol& protocol);

    auto begin(const std::vector<HttpHeader>& headers) -> void override;
    auto addToken(std::string_view text) -> void override;
    auto flush() -> boost::asio::awaitable<bool> override;
    auto finish(std::string_view finishReason, CompletionUsage usage) -> boost::asio::awaitable<bool> override;
    auto fail(ApiError error) -> boost::asio::awaitable<bool> override;

private:
    auto start() -> boost::asio::awaitable<bool>;

    HttpExchange& m_exchange;
    const CallerProtocol& m_protocol;
    std::vector<HttpHeader> m_headers;
    std::string m_pending;
};

}
