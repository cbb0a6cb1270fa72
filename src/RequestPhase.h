#pragma once

/// Where a request stands between its arrival and its final answer.

#include <cstdint>

namespace jayhold {

enum class RequestPhase : std::uint8_t {
    /// Waits in its queue; nothing is reserved.
    Queued,
    /// A prefill engine works on it.
    Prefilling,
    /// The prefill result is kept on the prefill engine and waits for a decode seat.
    Prefilled,
    /// A decode engine has been told to import the KV cache.
    Starting,
    /// A decode engine emits tokens.
    Decoding,
    /// Its decode engine is gone; waits for the exact number of tokens that the caller has.
    Stopping,
};

}
