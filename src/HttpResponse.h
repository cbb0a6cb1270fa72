#pragma once

/// An HTTP response as plain data.

#include "HttpHeader.h"
#include "ResponseShare.h"

#include <memory>
#include <string>
#include <vector>

namespace jayhold {

struct HttpResponse {
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
    /// Counts the body of a received response while it is held; null for a small body and for other responses.
    std::shared_ptr<const ResponseShare> share {};
    /// Whether it is a refusal by this instance of a request that has not run and never will.
    bool isNotRun = false;
};

/// @return a response with a JSON body and its content type.
auto jsonResponse(unsigned status, std::string body) -> HttpResponse;

}
