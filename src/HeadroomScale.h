#pragma once

/// Scales the slot headroom of interactive work: up while it is late, down while it is on time. Each
/// slot kept free is one that long requests do not get.

#include <algorithm>

namespace jayhold {

class HeadroomScale {
public:
    /// @param late whether an interactive request missed its first-token target.
    auto observe(bool late) -> void
    {
        m_scale = std::clamp(m_scale + (late ? increase : -increase * targetLateShare), minScale, maxScale);
    }

    auto value() const -> double { return m_scale; }

private:
    static constexpr double minScale = 1;
    static constexpr double maxScale = 3;
    static constexpr double increase = 0.5;
    /// The scale is in balance where about this share of interactive work is late.
    static constexpr double targetLateShare = 0.01;

    double m_scale = minScale;
};

}
