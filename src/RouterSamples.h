#pragma once

/// Metrics of a RouterDaemon's access to the platform's store.

#include "Metrics.h"
#include "StoreCallCounts.h"
#include "StreamVersionCounts.h"

#include <vector>

namespace jayhold {

auto addStoreCalls(const StoreCallCounts& counts, std::vector<Metrics::Sample>& samples) -> void;

auto addStreamVersions(const StreamVersionCounts& counts, std::vector<Metrics::Sample>& samples) -> void;

}
