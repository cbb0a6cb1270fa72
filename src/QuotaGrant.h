#pragma once

/// An amount of a customer's quota that a request may use.

#include <cstdint>
#include <string>

namespace jayhold {

struct QuotaGrant {
    std::string customer;
    /// 0 if the customer has no quota any more, so that there is nothing to give back.
    std::int64_t amount = 0;
    /// Instance that has granted it.
    std::string grantor;
    std::uint64_t id = 0;
    /// Whether the grantor was isolated, so that the amount did not come from the zone's bucket.
    bool isIsolated = false;
};

}
