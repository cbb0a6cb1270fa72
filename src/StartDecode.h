#pragma once

/// Action: start a decode, pulling the KV cache from the prefill engine that has it.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct StartDecode {
    RequestId request;
    Attempt attempt;
    ReplicaId prefill;
    ReplicaId decode;
    /// Tokens that the caller has already and that must not be sent again.
    std::uint32_t resumeFrom;
};

}
