#pragma once

/// Action: start a prefill. The decode replica named here has a seat and memory reserved for the
/// request in the shard's ledger, or is expected to have them when the result is ready. StartDecode
/// names the replica that the result goes to, which may be another.

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
};

}
