#pragma once

/// Options for one call of HttpClient.

#include "HttpHeader.h"
#include "Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

struct HttpCallOptions {
    /// Limit for sending the request and receiving the response header, after connecting.
    Duration timeout = std::chrono::seconds(10);
    /// Whether the call may reuse an idle connection. The peer can close it while the request is sent,
    /// which cannot be distinguished from a call that was executed.
    bool mayReuse = false;
    /// Asked before the call is sent again on a new connection because the reused idle connection turned
    /// out to be closed. The server may have executed the call in spite of that.
    std::function<bool()> mayResend = [] { return false; };
    /// Whether the connection stays open while the call runs, although the peer is silent for a few seconds or does not read.
    /// A peer that stays silent is still detected, and the timeout ends the call in any case.
    bool outlastsSilence = false;
    /// Identifies the process behind the endpoint. Only calls with the same value share idle connections,
    /// because an address can be reassigned to another process.
    std::string peer;
    /// A header field that the response must repeat. A response with another value belongs to an earlier
    /// call and is skipped; its connection is not kept. An idle connection that has carried a call with the
    /// same value is not used, because a late response to that call could not be distinguished.
    std::optional<HttpHeader> correlationHeader;
    /// Receives the status and header of each final response, also of one that is skipped, before its body is read.
    std::function<void(unsigned, const std::vector<HttpHeader>&)> onHeader = [](unsigned, const std::vector<HttpHeader>&) {};
    /// Receives the status of each response that is skipped.
    std::function<void(unsigned)> onSkippedResponse = [](unsigned) {};
};

}
