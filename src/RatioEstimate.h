#pragma once

/// A rate estimated from pairs of amount and time. It is a ratio of exponentially decaying sums, so
/// that large samples count more.

namespace jayhold {

class RatioEstimate {
public:
    /// @param initial value before the first sample.
    explicit RatioEstimate(double initial)
        : m_initial(initial)
    {
    }

    auto observe(double amount, double time) -> void
    {
        if (amount <= 0 || time <= 0)
            return;
        m_amount = m_amount * decay + amount;
        m_time = m_time * decay + time;
    }

    auto value() const -> double { return m_time > 0 ? m_amount / m_time : m_initial; }

private:
    static constexpr double decay = 0.99;
    double m_initial;
    double m_amount = 0;
    double m_time = 0;
};

}
