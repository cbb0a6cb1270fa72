#pragma once

/// How an entry instance speaks with callers. Each protocol fills in one of these.

#include "ApiError.h"
#include "CompletionRequest.h"
#include "ForwardedCall.h"
#include "HttpHeader.h"
#include "HttpRequest.h"
#include "HttpResponse.h"

#include <vector>

namespace jayhold {

struct CallerProtocol {
    /// @return the header fields of a backend server's answer that the caller gets.
    auto(*responseHeaders)(const std::vector<HttpHeader>& headers) -> std::vector<HttpHeader>;
    /// @return the answer for an error of jayhold's own.
    auto(*refusal)(const ApiError& error) -> HttpResponse;
    /// Reads a request that goes to a backend server unchanged; null where requests have a form of
    /// jayhold's own.
    auto(*decode)(const HttpRequest& request) -> ApiResult<ForwardedCall>;
    /// Whether answers carry the hybrid time of the instance.
    bool showsHybridTime;
};

/// @return the protocol of the completion endpoints and of plain services.
auto nativeCallerProtocol() -> const CallerProtocol&;

}
