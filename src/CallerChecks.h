#pragma once

/// Validates callers' requests against the configuration, without any I/O.

#include "CompletionRequest.h"
#include "ConfigurationIndex.h"
#include "HttpRequest.h"
#include "ModelRequestInfo.h"
#include "PlainCallInfo.h"
#include "QuotaDemand.h"

#include <optional>
#include <string>

namespace jayhold {

/// A validated model request and the name of its service.
struct CheckedCompletion {
    std::string service;
    ModelRequestInfo info;
    /// Nothing if the request has no customer or the customer no quota.
    std::optional<QuotaDemand> quota {};
};

/// A validated call to a plain service and the name of that service.
struct CheckedPlainCall {
    std::string service;
    PlainCallInfo info;
    /// Nothing if the request has no customer or the customer no quota.
    std::optional<QuotaDemand> quota {};
};

/// Validates a completion request against the configuration.
/// @param now arrival time of the request.
auto checkCompletion(const ConfigurationIndex& index, CustomerId customer, CompletionApi api, const HttpRequest& request, TimePoint now) -> ApiResult<CheckedCompletion>;

/// @return why the service takes no request of this size; nothing if it does.
auto checkSize(const Service& service, const ModelRequestInfo& info) -> std::optional<ApiError>;

/// Validates a call to a plain service against the configuration.
/// @param now arrival time of the request.
auto checkPlainCall(const ConfigurationIndex& index, CustomerId customer, const HttpRequest& request, TimePoint now) -> ApiResult<CheckedPlainCall>;

}
