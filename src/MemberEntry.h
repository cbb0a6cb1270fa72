#pragma once

/// What one gossip message says about one instance.

#include "Member.h"

#include <cstdint>

namespace jayhold {

struct MemberEntry {
    Member member;
    /// Counts the gossip rounds of the instance within its incarnation.
    std::uint64_t heartbeat = 0;
    /// Whether address, zone and configuration version are given. Peers that know an instance
    /// already are sent its counters only, which takes half the bytes.
    bool isFull = true;

    auto operator==(const MemberEntry&) const -> bool = default;
};

}
