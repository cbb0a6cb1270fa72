#pragma once

/// Action: start a prefill. On the given decode replica, the shard has reserved a slot and memory for
/// the request, or expects them to be free when the result is ready. StartDecode gives the replica that
/// gets the result, which may be another.

#include "Identifiers.h"
#include "SlotMemory.h"

namespace jayhold {

struct StartPrefill {
    RequestId request;
    Attempt attempt;
    ReplicaId prefill;
    ReplicaId decode;
    /// Memory for which the decode replica is asked before the prefill, where slots are reserved.
    SlotMemory slot;
    /// The reservation whose slot the attempt takes; 0 if it takes none.
    ReplacementNumber replacement = 0;
};

}
