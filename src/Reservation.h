#pragma once

/// What one request reserves on one replica. The request owns the reservation, and its timer bounds the
/// lifetime.

#include <cstdint>

namespace jayhold {

struct Reservation {
    std::uint64_t linkBytes = 0;
    std::uint32_t slots = 0;
    std::uint32_t memoryBlocks = 0;
    /// Prompt tokens that are not prefilled yet; only on prefill replicas.
    std::uint32_t prefillTokens = 0;

    auto empty() const -> bool { return !slots && !memoryBlocks && !linkBytes && !prefillTokens; }
};

inline auto add(Reservation& to, const Reservation& amount) -> void
{
    to.slots += amount.slots;
    to.memoryBlocks += amount.memoryBlocks;
    to.linkBytes += amount.linkBytes;
    to.prefillTokens += amount.prefillTokens;
}

inline auto subtract(Reservation& from, const Reservation& amount) -> void
{
    from.slots -= amount.slots;
    from.memoryBlocks -= amount.memoryBlocks;
    from.linkBytes -= amount.linkBytes;
    from.prefillTokens -= amount.prefillTokens;
}

}
