#pragma once

/// An HTTP request as plain data.

#include "HttpHeader.h"

#include <memory>
#include <string>
#include <string_view>
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
    /// The body if several requests share one; `body` is empty then.
    std::shared_ptr<const std::string> sharedBody = nullptr;

    /// @return the body, wherever it is.
    auto content() const -> std::string_view { return sharedBody ? std::string_view(*sharedBody) : std::string_view(body); }
};

}
