#pragma once

/// Timeouts for the phases of a call to an engine.

#include <chrono>

namespace jayhold {

struct EntryTimeouts {
    /// From sending a prefill call to its result.
    std::chrono::milliseconds prefill { 10'000 };
    /// From sending a slot reservation to its response, which needs no computation at the engine. The
    /// timeout is a third of the shortest target for the first token.
    std::chrono::milliseconds slotReservation { 300 };
    /// From sending a decode call to the first token; includes the transfer of the KV cache.
    std::chrono::milliseconds firstToken { 3'000 };
    /// Between two tokens of a stream.
    std::chrono::milliseconds stall { 2'000 };
};

}
