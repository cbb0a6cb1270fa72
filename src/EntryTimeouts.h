#pragma once

/// How long a request waits for an engine before the attempt counts as failed.

#include <chrono>

namespace jayhold {

struct EntryTimeouts {
    /// From sending a prefill to its result.
    std::chrono::milliseconds prefill { 10'000 };
    /// From asking an engine to keep a seat to its answer, which needs no work of the engine; a third of
    /// the shortest target for a first token.
    std::chrono::milliseconds slot { 300 };
    /// From sending a decode to its first token; covers the transfer of the KV cache.
    std::chrono::milliseconds firstToken { 3'000 };
    /// Between two tokens of a stream.
    std::chrono::milliseconds stall { 2'000 };
};

}
