#pragma once

/// Limits on what one entry instance accepts.

#include <cstddef>

namespace jayhold {

struct EntryLimits {
    /// Maximum size of a request body, in bytes.
    std::size_t bodyBytes = 4U << 20U;
    /// Maximum number of requests in progress; further requests are refused as not run.
    std::size_t openRequests = 8'000;
    /// Memory limit of the process, in bytes; 0 if it is not known.
    std::size_t memoryBytes = 0;
};

}
