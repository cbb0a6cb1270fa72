#pragma once

/// What a request counts in the quota of its customer.

#include <cstdint>
#include <string>

namespace jayhold {

struct QuotaDemand {
    std::string customer;
    /// In the unit of the customer's quota.
    std::int64_t amount = 0;
};

}
