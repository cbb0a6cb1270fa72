#pragma once

/// Amounts of a customer's quota that an instance has handled since its start, for metrics.

#include <cstdint>

namespace jayhold {

struct QuotaCounts {
    /// Granted or refused by this instance as an owner, or while it was isolated.
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    /// Lent to owners of other zones, and borrowed from them.
    std::uint64_t lent = 0;
    std::uint64_t borrowed = 0;
    /// Given back by requests that did not run.
    std::uint64_t returned = 0;

    auto operator+=(const QuotaCounts& other) -> QuotaCounts&
    {
        granted += other.granted;
        refused += other.refused;
        lent += other.lent;
        borrowed += other.borrowed;
        returned += other.returned;
        return *this;
    }
};

}
