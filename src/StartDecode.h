#pragma once

/// Action: start a decode, pulling the KV cache from the prefill engine that has it, or prefilling on
/// the decode engine where none is named.

#include "Identifiers.h"
#include "OptionalReplica.h"

#include <cstdint>

namespace jayhold {

struct StartDecode {
    RequestId request;
    Attempt attempt;
    OptionalReplica prefill;
    ReplicaId decode;
    /// Tokens that the shard knows the caller to have. A driver that has sent more starts the stream
    /// here and drops those it has sent already; it never starts after what it has sent.
    std::uint32_t resumeFrom;
    /// Memory for which the engine is asked to keep a seat first; 0 where that has been done.
    std::uint32_t slotTokens = 0;
};

}
