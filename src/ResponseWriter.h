#pragma once

/// Writes the tokens of a response to the caller. All member functions run on the I/O thread of the
/// exchange.

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

    /// Called for each attempt when an engine starts to respond.
    /// @param headers header fields of the engine's response.
    virtual auto begin(const std::vector<HttpHeader>& headers) -> void = 0;

    /// Buffers a token; the next flush() sends it.
    virtual auto addToken(std::string_view text) -> void = 0;

    /// Sends the tokens that were added since the last call.
    /// @return false if the caller has disconnected.
    virtual auto flush() -> boost::asio::awaitable<bool> = 0;

    /// Completes the response.
    virtual auto finish(std::string_view finishReason, CompletionUsage usage) -> boost::asio::awaitable<bool> = 0;

    /// Ends the response with an error.
    virtual auto fail(ApiError error) -> boost::asio::awaitable<bool> = 0;
};

}
