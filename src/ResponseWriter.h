#pragma once

/// Brings the tokens of an answer to the caller. All members run on the I/O thread of the exchange.

#include "ApiError.h"
#include "CompletionUsage.h"
#include "HttpHeader.h"

#include <boost/asio/awaitable.hpp>

#include <string_view>
#include <vector>

namespace jayhold {

class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// An engine has begun to answer; called for each attempt.
    /// @param headers header fields of its answer.
    virtual auto begin(const std::vector<HttpHeader>& headers) -> void = 0;

    /// Adds a token; it leaves with the next flush().
    virtual auto addToken(std::string_view text) -> void = 0;

    /// Sends what was added since the last call.
    /// @return false where the caller is gone.
    virtual auto flush() -> boost::asio::awaitable<bool> = 0;

    /// Completes the answer.
    virtual auto finish(std::string_view finishReason, CompletionUsage usage) -> boost::asio::awaitable<bool> = 0;

    /// Ends the answer with an error.
    virtual auto fail(ApiError error) -> boost::asio::awaitable<bool> = 0;
};

}
