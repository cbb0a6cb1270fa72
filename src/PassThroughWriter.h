#pragma once

/// Sends an engine's events to the caller as they came, with the header fields of the engine that
/// answered first. An answer that can't be completed is cut, so that it never looks whole.

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
