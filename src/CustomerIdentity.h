#pragma once

/// Finds the customer on whose behalf a forwarded request comes, without any I/O.

#include "ApiError.h"
#include "CompletionRequest.h"
#include "ConfigurationIndex.h"
#include "ForwardedCall.h"

#include <optional>

namespace jayhold {

/// @return the customer whose key the request carries, or nothing for a request that needs no key and carries no known
/// one. Otherwise the error: 401 if the key is missing or unknown, 503 if the customer's entry can't be used.
auto identifyCustomer(const ConfigurationIndex& index, const Route& route, const ForwardedCall& call) -> ApiResult<std::optional<CustomerId>>;

}
