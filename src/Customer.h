#pragma once

/// A customer: a caller with its own key and its own fair share of each queue.

#include <cstdint>
#include <string>

namespace jayhold {

struct Customer {
    std::string name;
    /// SHA-256 of the bearer key, 64 lower-case hexadecimal digits.
    std::string keySha256;
    /// Weight in fair queueing, relative to other customers.
    double weight = 1;
    /// Maximum number of this customer's requests that wait at one entry instance.
    std::int64_t maxQueued = 1'000;

    auto operator==(const Customer&) const -> bool = default;
};

}
