#pragma once

/// The checks that turn callers' requests into checked ones, without any I/O.

#include "CompletionRequest.h"
#include "ConfigurationIndex.h"
#include "HttpRequest.h"
#include "ModelRequestInfo.h"
#include "PlainCallInfo.h"

#include <string>

namespace jayhold {

/// A checked model request and the service that it is for.
struct CheckedCompletion {
    std::string service;
    ModelRequestInfo info;
};

/// A checked call to a plain service and the service that it is for.
struct CheckedPlainCall {
    std::string service;
    PlainCallInfo info;
};

/// Checks a completion request against the configuration.
/// @param now when the request arrived.
auto checkCompletion(const ConfigurationIndex& index, CustomerId customer, CompletionApi api, const HttpRequest& request, TimePoint now) -> ApiResult<CheckedCompletion>;

/// Checks a call to a plain service against the configuration.
auto checkPlainCall(const ConfigurationIndex& index, CustomerId customer, const HttpRequest& request, TimePoint now) -> ApiResult<CheckedPlainCall>;

}
