#pragma once

/// Phase of a request between its arrival and its final answer.

#include <cstdint>

namespace jayhold {

enum class RequestPhase : std::uint8_t {
    /// The request waits in its queue. Nothing is reserved.
    Queued,
    /// A prefill engine processes the request.
    Prefilling,
    /// The prefill engine keeps the prefill result, which waits for a decode slot.
    Prefilled,
    /// A decode engine has been asked to import the KV cache.
    Starting,
    /// A decode engine emits tokens.
    Decoding,
    /// The decode engine is gone. The shard waits for the exact number of tokens that the caller has.
    Stopping,
};

}
