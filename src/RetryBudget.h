#pragma once

/// A token bucket that limits retries to a fraction of the new requests, so that a failing backend server
/// or service gets little more load than without retries.

#include <algorithm>
#include <cstdint>

namespace jayhold {

struct RetryBudgetLimits {
    /// Retries that each new request adds to the budget.
    double ratio;
    /// Maximum number of retries in the budget, which is reached after a time without retries.
    double capacity;
};

/// Numbers of requests and retries since the start.
struct RetryTotals {
    std::uint64_t requests = 0;
    std::uint64_t consumed = 0;
    std::uint64_t denied = 0;
};

class RetryBudget {
public:
    /// @param tokens retries that the budget has at the start.
    RetryBudget(RetryBudgetLimits limits, double tokens)
        : m_limits(limits)
        , m_tokens(std::min(tokens, limits.capacity))
    {
    }

    /// Replaces the limits; the budget stays as it is, up to the new capacity.
    auto updateLimits(RetryBudgetLimits limits) -> void
    {
        m_limits = limits;
        m_tokens = std::min(m_tokens, m_limits.capacity);
    }

    auto recordRequest() -> void
    {
        m_tokens = std::min(m_tokens + m_limits.ratio, m_limits.capacity);
        ++m_requests;
    }

    /// Takes retries from the budget, either all or none.
    /// @return false if the budget has fewer.
    auto tryConsume(std::uint32_t retries = 1) -> bool
    {
        if (m_tokens < retries) {
            m_denied += retries;
            return false;
        }
        m_tokens -= retries;
        m_consumed += retries;
        return true;
    }

    auto remaining() const -> double { return m_tokens; }
    auto capacity() const -> double { return m_limits.capacity; }
    /// @return the totals since the start, for metrics.
    auto totals() const -> RetryTotals { return { m_requests, m_consumed, m_denied }; }

private:
    RetryBudgetLimits m_limits;
    double m_tokens;
    std::uint64_t m_requests = 0;
    std::uint64_t m_consumed = 0;
    std::uint64_t m_denied = 0;
};

/// Limits for model requests. A burst of 64 covers the streams of a few decode engines that fail together,
/// with about 20 streams per engine.
inline constexpr RetryBudgetLimits modelRetryLimits { .ratio = 0.2, .capacity = 64 };

/// Limits for calls of plain services.
inline constexpr RetryBudgetLimits plainRetryLimits { .ratio = 0.1, .capacity = 10 };

}
