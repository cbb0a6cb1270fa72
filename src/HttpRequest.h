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
    /// Whether a request with a method other than GET is idempotent. Only then may the client send it
    /// on a pooled connection, and again on a new one if that connection was closed.
    bool isIdempotent = false;
};

}
