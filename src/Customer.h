#pragma once

/// A customer: a caller with its own keys, its own fair share of each queue, and possibly a quota.

#include "Quota.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

struct Customer {
    std::string name;
    /// SHA-256 of the bearer keys, 64 lower-case hexadecimal digits each.
    std::vector<std::string> keysSha256;
    /// Weight in fair queueing, relative to other customers.
    double weight = 1;
    /// Maximum number of this customer's requests that wait at one entry instance.
    std::int64_t maxQueued = 1'000;
    /// Orders requests before the priority of their kind; 0 is the most urgent. Absent if the customer has none.
    std::optional<std::int64_t> priority {};
    Quota quota {};
    /// Whether the customer's entry in the configuration could be read. Requests of other customers are served.
    bool isUsable = true;

    auto operator==(const Customer&) const -> bool = default;
};

}
