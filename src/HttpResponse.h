#pragma once

/// An HTTP response as plain data.

#include "HttpHeader.h"

#include <string>
#include <vector>

namespace jayhold {

struct HttpResponse {
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

/// @return a response with a JSON body and its content type.
auto jsonResponse(unsigned status, std::string body) -> HttpResponse;

}
