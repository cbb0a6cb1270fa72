#pragma once

/// How HttpClient makes one call.

#include "HttpHeader.h"
#include "Time.h"

#include <optional>
#include <string>

namespace jayhold {

struct HttpCallOptions {
    /// Time for sending the request and for the header of the answer to arrive, after connecting.
    Duration timeout = std::chrono::seconds(10);
    /// Whether an idle connection may carry the call. The other side can close it at the moment of
    /// sending, which can't be told apart from a call that ran.
    bool mayReuse = false;
    /// Whether the call may run twice: one that met a closed idle connection is sent again on a
    /// fresh one.
    bool mayResend = false;
    /// Names the process behind the endpoint. Idle connections are shared only by calls with the
    /// same name, because an address can pass to another process.
    std::string peer;
    /// A header field that the answer must repeat. An answer with another value belongs to an
    /// earlier call and is skipped.
    std::optional<HttpHeader> echo;
};

}
