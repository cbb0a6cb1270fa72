#pragma once

/// What a run of the load tool sends, where and for how long.

#include "HttpEndpoint.h"
#include "LoadItem.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace jayhold {

struct LoadSettings {
    /// Addresses of the entry instances, used in turn.
    std::vector<HttpEndpoint> entries;
    std::vector<LoadItem> mix;
    double ratePerSecond = 10;
    std::chrono::milliseconds duration { 5'000 };
    /// Maximum number of concurrent calls; a call that is due beyond it waits.
    std::int64_t concurrency = 100;
    std::int64_t threads = 1;
    std::uint64_t seed = 1;
    /// Retries a call that was refused without running, after the stated delay, and a call whose
    /// connection failed if it did not run or may be repeated.
    bool retriesRefusals = false;
    /// Maximum number of attempts per call.
    std::int64_t maxAttempts = 5;
    /// Maximum time that one call may take with all its attempts.
    std::chrono::milliseconds callTimeout { 60'000 };
};

}
