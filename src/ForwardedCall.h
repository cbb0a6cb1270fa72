#pragma once

/// A caller's request that goes to a backend server unchanged, and what its routing needs to know.

#include "HttpRequest.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jayhold {

struct ForwardedCall {
    /// The caller's name for this attempt of its request.
    std::string requestId;
    /// Lower case, without a port.
    std::string host;
    /// Without the query.
    std::string path;
    /// How long the caller waits; absent where it does not say.
    std::optional<Duration> callerTimeout;
    /// Of model requests only.
    std::uint32_t promptTokens = 0;
    /// Most tokens that the caller accepts.
    std::uint32_t maxTokens = 0;
    /// The caller's own estimate of the tokens of the answer, 0 for none.
    std::uint32_t expectedTokens = 0;
    std::string model;
    /// Index of the last token that the caller has of an answer that broke off.
    std::optional<std::uint32_t> lastToken;
    /// What the backend server gets, without the fields that concern one connection or one hop.
    HttpRequest request;
};

}
