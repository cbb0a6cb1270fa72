#pragma once

/// Bounds retries to a share of new calls, so that a failing service does not get more load than
/// it would have without retries.

#include <algorithm>

namespace jayhold {

class PlainRetryBudget {
public:
    /// Retries that each new call allows for.
    static constexpr double ratio = 0.1;
    /// Most retries that a quiet service can save up.
    static constexpr double capacity = 10;

    auto noteCall() -> void { m_tokens = std::min(m_tokens + ratio, capacity); }

    /// @return whether a retry is allowed; it is then taken off the budget.
    auto take() -> bool
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokens = capacity;
};

}
