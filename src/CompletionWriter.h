#pragma once

/// Writes the responses of the completion endpoints, as a stream of events or as one JSON document.

#include "CompletionFormat.h"
#include "HttpExchange.h"
#include "ResponseWriter.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace jayhold {

class CompletionWriter final : public ResponseWriter {
public:
    /// @param headers header fields of every response.
    CompletionWriter(HttpExchange& exchange, const CompletionRequest& request, CompletionFormat format, std::vector<HttpHeader> headers);

    auto begin(const std::vector<HttpHeader>&) -> void override { }
    auto addToken(std::string_view text) -> void override;
    auto flush() -> boost::asio::awaitable<bool> override;
    auto finish(std::string_view finishReason, CompletionUsage usage) -> boost::asio::awaitable<bool> override;
    /// Ends the response with an error: as an error response if none has started, otherwise as the last
    /// event of the stream, which then has no `[DONE]`.
    auto fail(ApiError error) -> boost::asio::awaitable<bool> override;

private:
    HttpExchange& m_exchange;
    const CompletionFormat m_format;
    const std::vector<HttpHeader> m_headers;
    const bool m_isStream;
    const bool m_includesUsage;
    bool m_hasTokens = false;
    /// Chunks that have not been sent, or the text so far of a response that is sent as one document.
    std::string m_pending;
};

}
