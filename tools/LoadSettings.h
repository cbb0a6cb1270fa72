#pragma once

/// What a run of the load tool sends, where and for how long.

#include "HttpEndpoint.h"
#include "LoadItem.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace jayhold {

struct LoadSettings {
    /// Entry addresses, used in turn.
    std::vector<HttpEndpoint> entries;
    std::vector<LoadItem> mix;
    double ratePerSecond = 10;
    std::chrono::milliseconds duration { 5'000 };
    /// Calls under way at once; a call that is due while all are in use waits.
    std::int64_t concurrency = 100;
    std::int64_t threads = 1;
    std::uint64_t seed = 1;
    /// Sends a refused call that did not run again after its Retry-After.
    bool retriesRefusals = false;
    /// Most times that one call is sent.
    std::int64_t maximumAttempts = 5;
    /// Longest time that one call may take with all its attempts.
    std::chrono::milliseconds callTimeout { 60'000 };
};

}
