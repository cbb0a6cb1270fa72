#pragma once

/// An HTTP request as plain data.

#include "HttpHeader.h"

#include <string>
#include <vector>

namespace jayhold {

struct HttpRequest {
    std::string method = "GET";
    /// Path with its query.
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    /// Whether the call is idempotent although its method is not GET; only then may the client use
    /// a pooled connection and send it again on a fresh one.
    bool isIdempotent = false;
};

}
