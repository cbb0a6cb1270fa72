#pragma once

/// Limits retries to a part of the new requests, so that a failing backend is not loaded further.

#include <algorithm>

namespace jayhold {

class RetryBudget {
public:
    auto requestArrived() -> void { m_tokens = std::min(m_tokens + ratio, largest); }

    /// @return whether one more retry is within the budget, which it then takes from.
    auto take() -> bool
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double ratio = 0.2;
    /// Covers the streams of a few decode engines that fail together; an engine runs about 20.
    static constexpr double largest = 64;

    double m_tokens = largest;
};

}
