#pragma once

/// Scales the seats that are left free for interactive work: more while it comes late, fewer while it
/// is in time, because each seat left free is one that long work does not get.

#include <algorithm>

namespace jayhold {

class HeadroomScale {
public:
    /// @param late whether an interactive request missed its first-token target.
    auto observe(bool late) -> void
    {
        m_scale = std::clamp(m_scale + (late ? growth : -growth * aimedLateShare), least, most);
    }

    auto value() const -> double { return m_scale; }

private:
    static constexpr double least = 1;
    static constexpr double most = 3;
    static constexpr double growth = 0.5;
    /// The scale rests where about this share of interactive work is late.
    static constexpr double aimedLateShare = 0.01;

    double m_scale = least;
};

}
