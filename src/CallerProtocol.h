#pragma once

/// The protocol between an entry instance and its callers, as a table of functions.

#include "ApiError.h"
#include "CompletionRequest.h"
#include "ForwardedCall.h"
#include "HttpHeader.h"
#include "HttpRequest.h"
#include "HttpResponse.h"

#include <string_view>
#include <vector>

namespace jayhold {

struct CallerProtocol {
    /// @return the header fields of a backend server's response that are forwarded to the caller.
    auto(*responseHeaders)(const std::vector<HttpHeader>& headers) -> std::vector<HttpHeader>;
    /// @return the response for an error that jayhold itself reports.
    auto(*refusal)(const ApiError& error) -> HttpResponse;
    /// Parses a request that is forwarded to a backend server unchanged; null if requests use jayhold's
    /// own format.
    auto(*decode)(const HttpRequest& request) -> ApiResult<ForwardedCall>;
    /// Names the customer to the backend server: removes the caller's key and whatever the caller says about the customer,
    /// and adds the name unless it is empty. Null if requests use jayhold's own format.
    auto(*setCustomer)(HttpRequest& request, std::string_view customer) -> void;
    /// Whether responses carry the hybrid time of the instance.
    bool showsHybridTime;
};

/// @return the protocol of the completion endpoints and of plain services.
auto nativeCallerProtocol() -> const CallerProtocol&;

}
