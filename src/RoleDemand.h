#pragma once

/// Work for the two roles of a model service's replicas.

#include <cstdint>

namespace jayhold {

struct RoleDemand {
    std::uint32_t prefillReplicas = 0;
    std::uint32_t decodeReplicas = 0;
    /// What the replicas do more than the same number at mean speed, in replicas; negative if they do less.
    double prefillSurplus = 0;
    double decodeSurplus = 0;
    /// Work in units of what one replica does at a time: prompts in prefill, and memory in use by
    /// decodes or needed by requests that wait for it.
    double prefillWork = 0;
    double decodeWork = 0;
};

}
