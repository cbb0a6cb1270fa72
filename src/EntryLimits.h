#pragma once

/// What one entry instance accepts at most.

#include <cstddef>

namespace jayhold {

struct EntryLimits {
    /// Largest request body, in bytes.
    std::size_t bodyBytes = 4U << 20U;
    /// Requests in progress at once; further ones are refused as not run.
    std::size_t openRequests = 8'000;
};

}
