#pragma once

/// Decides whether requests are within the quotas of their customers.

#include "QuotaDecision.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace jayhold {

class QuotaLimiter {
public:
    virtual ~QuotaLimiter() = default;

    /// Takes an amount of a customer's quota, in the unit of the quota. May be called on any I/O thread.
    virtual auto take(std::string customer, std::int64_t amount) -> boost::asio::awaitable<QuotaDecision> = 0;

    /// Returns the amount of a request that did not run and never will. May be called on any I/O thread.
    virtual auto giveBack(QuotaGrant grant) -> void = 0;
};

}
