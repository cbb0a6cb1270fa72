#pragma once

/// Limits retries to a part of the new requests, so that a failing backend server or service gets
/// little more load than it would have without retries.

#include <algorithm>
#include <cstdint>

namespace jayhold {

struct RetryBudgetLimits {
    /// Retries that each new request allows for.
    double ratio;
    /// Most retries that a quiet service can save up.
    double capacity;
};

class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetLimits limits)
        : m_limits(limits)
        , m_tokens(limits.capacity)
    {
    }

    /// Replaces the limits; what was saved up stays as far as they allow.
    auto updateLimits(RetryBudgetLimits limits) -> void
    {
        m_limits = limits;
        m_tokens = std::min(m_tokens, m_limits.capacity);
    }

    auto recordRequest() -> void { m_tokens = std::min(m_tokens + m_limits.ratio, m_limits.capacity); }

    /// @return whether one more retry is within the budget, which it then takes from.
    auto tryConsume() -> bool
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    auto left() const -> double { return m_tokens; }

private:
    RetryBudgetLimits m_limits;
    double m_tokens;
};

/// Model requests: a burst of 64 covers the streams of a few decode engines that fail together; an
/// engine runs about 20.
inline constexpr RetryBudgetLimits modelRetryLimits { .ratio = 0.2, .capacity = 64 };

/// Calls of plain services.
inline constexpr RetryBudgetLimits plainRetryLimits { .ratio = 0.1, .capacity = 10 };

}
