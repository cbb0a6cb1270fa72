#pragma once

/// Action: start a prefill. The decode replica named here has a seat and memory reserved for the
/// request in the shard's ledger.

#include "Identifiers.h"

namespace jayhold {

struct StartPrefill {
    RequestId request;
    Attempt attempt;
    ReplicaId prefill;
    ReplicaId decode;
};

}
