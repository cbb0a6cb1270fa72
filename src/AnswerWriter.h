#pragma once

/// Brings the tokens of an answer to the caller, as a stream of events or as one document. All
/// members run on the I/O thread of the exchange.

#include "ApiError.h"
#include "CompletionFormat.h"
#include "HttpExchange.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace jayhold {

class AnswerWriter {
public:
    /// @param headers fields that every answer carries.
    AnswerWriter(HttpExchange& exchange, const CompletionRequest& request, CompletionFormat format, std::vector<HttpHeader> headers);

    /// Adds a token; it leaves with the next flush().
    auto addToken(std::string_view text) -> void;
    /// Sends what was added since the last call.
    /// @return false where the caller is gone.
    auto flush() -> boost::asio::awaitable<bool>;
    /// Completes the answer.
    auto finish(std::string_view finishReason, CompletionUsage usage) -> boost::asio::awaitable<bool>;
    /// Ends the answer with an error: as a whole answer where none has begun, or else as the last
    /// event of the stream, which then has no `[DONE]`.
    auto fail(ApiError error) -> boost::asio::awaitable<bool>;

private:
    HttpExchange& m_exchange;
    const CompletionFormat m_format;
    const std::vector<HttpHeader> m_headers;
    const bool m_isStream;
    const bool m_includesUsage;
    bool m_hasTokens = false;
    /// Chunks that have not been sent, or the text so far of an answer that is sent whole.
    std::string m_pending;
};

}
