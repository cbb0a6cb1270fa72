#pragma once

/// Action: start a prefill. On the given decode replica, the shard has reserved a slot and memory for
/// the request, or expects them to be free when the result is ready. StartDecode gives the replica that
/// gets the result, which may be another.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct StartPrefill {
    RequestId request;
    Attempt attempt;
    ReplicaId prefill;
    ReplicaId decode;
    /// Tokens for which the decode needs memory.
    std::uint32_t decodeTokens = 0;
    /// The reservation whose slot the attempt takes; 0 if it takes none.
    ReplacementNumber replacement = 0;
};

}
