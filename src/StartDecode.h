#pragma once

/// Action: start a decode, which pulls the KV cache from the given prefill engine, or prefills on the
/// decode engine if none is given.

#include "Identifiers.h"
#include "OptionalReplica.h"
#include "SlotMemory.h"

#include <cstdint>
#include <optional>

namespace jayhold {

struct StartDecode {
    RequestId request;
    Attempt attempt;
    OptionalReplica prefill;
    ReplicaId decode;
    /// Number of tokens that the caller has according to the shard. A driver that has sent more starts
    /// the stream here and drops the tokens it has already sent. The stream never starts after what the
    /// driver has sent.
    std::uint32_t resumeFrom;
    /// Memory for which the engine is asked to reserve a slot first; absent if it is not asked, or has been.
    std::optional<SlotMemory> slot;
    /// The reservation whose slot the attempt takes; 0 if it takes none.
    ReplacementNumber replacement = 0;
};

}
