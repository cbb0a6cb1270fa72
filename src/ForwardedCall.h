#pragma once

/// A caller's request that is forwarded to a backend server unchanged, and the fields that routing uses.

#include "HttpRequest.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

struct ForwardedCall {
    /// The caller's id for this attempt of its request.
    std::string requestId;
    /// Lower case, without a port.
    std::string host;
    /// Without the query.
    std::string path;
    /// How long the caller waits; absent if it does not state a timeout.
    std::optional<Duration> callerTimeout;
    /// Whether the caller has stated the two numbers of tokens below.
    bool hasTokenCounts = false;
    /// Set for model requests only.
    std::uint32_t promptTokens = 0;
    /// Maximum number of output tokens that the caller accepts.
    std::uint32_t maxTokens = 0;
    /// The caller's own estimate of the number of output tokens; 0 if it gives none.
    std::uint32_t expectedTokens = 0;
    std::string model;
    /// Identifiers of the parts of the prompt, in order. Other requests may have the same parts, except for
    /// the last one, which belongs to this request or its session.
    std::vector<std::uint64_t> promptParts;
    /// Index of the last token that the caller received of an interrupted response, which this request
    /// resumes.
    std::optional<std::uint32_t> lastToken;
    /// Values of the fields in which the caller has sent a customer's key. Must not be logged.
    std::vector<std::string> credentials;
    /// Id of the request that brought the first event of the response that this request resumes; empty if the caller does
    /// not name it.
    std::string resumedRequest;
    /// The request for the backend server, without the header fields that concern one connection or one
    /// hop.
    HttpRequest request;
};

}
