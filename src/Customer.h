#pragma once

/// A customer: a caller with its own key and its own fair share of every queue.

#include <cstdint>
#include <string>

namespace jayhold {

struct Customer {
    std::string name;
    /// SHA-256 of the bearer key, 64 lower-case hexadecimal digits.
    std::string keySha256;
    /// Share of a contended queue relative to other customers.
    double weight = 1;
    /// Most requests of this customer that wait in one entry instance.
    std::int64_t maxQueued = 1'000;

    auto operator==(const Customer&) const -> bool = default;
};

}
