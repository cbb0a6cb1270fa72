#pragma once

/// What one request holds on one replica. The request is the owner; its timer is the end.

#include <cstdint>

namespace jayhold {

struct Reservation {
    std::uint64_t linkBytes = 0;
    std::uint32_t seats = 0;
    std::uint32_t pieces = 0;
    /// Prompt tokens still to be prefilled; only on prefill replicas.
    std::uint32_t prefillTokens = 0;

    auto empty() const -> bool { return !seats && !pieces && !linkBytes && !prefillTokens; }
};

inline auto add(Reservation& to, const Reservation& amount) -> void
{
    to.seats += amount.seats;
    to.pieces += amount.pieces;
    to.linkBytes += amount.linkBytes;
    to.prefillTokens += amount.prefillTokens;
}

inline auto subtract(Reservation& from, const Reservation& amount) -> void
{
    from.seats -= amount.seats;
    from.pieces -= amount.pieces;
    from.linkBytes -= amount.linkBytes;
    from.prefillTokens -= amount.prefillTokens;
}

}
