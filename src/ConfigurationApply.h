#pragma once

/// Applies an operator's configuration by a conditional update of the platform's configuration object.
/// Private to the cluster library.

#include "ClusterCore.h"

namespace jayhold {

auto applyConfigurationChange(ClusterPointer core, HttpClient& client, Configuration next, std::int64_t expectedVersion) -> boost::asio::awaitable<ApplyOutcome>;

}
