#pragma once

/// Metrics of a RouterDaemon's access to the platform's store, and of the quotas.

#include "Metrics.h"
#include "QuotaExchange.h"
#include "StoreCallCounts.h"
#include "StreamVersionCounts.h"

#include <vector>

namespace jayhold {

auto addStoreCalls(const StoreCallCounts& counts, std::vector<Metrics::Sample>& samples) -> void;

/// Adds nothing if no customer has a quota.
auto addQuotas(const QuotaExchange::Counts& counts, std::vector<Metrics::Sample>& samples) -> void;

auto addStreamVersions(const StreamVersionCounts& counts, std::vector<Metrics::Sample>& samples) -> void;

}
