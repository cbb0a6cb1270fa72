#pragma once

/// How many decode seats are left free for interactive work. Long answers hold a seat for tens of
/// seconds, interactive work can wait for less than one, so it needs seats that are free already. The
/// headroom grows when interactive work is late and shrinks while it is not, because it costs
/// long work some of its seats.

#include "DecodeSeats.h"
#include "LatencyClass.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace jayhold {

class SeatHeadroom {
public:
    /// @param late whether an interactive request missed its first-token target.
    auto observe(bool late) -> void
    {
        m_scale = std::clamp(m_scale + (late ? growth : -growth * aimedLateShare), 0.0, 1.0);
    }

    /// @return whether work of the class may take one of the seats.
    auto allows(const DecodeSeats& seats, LatencyClass latencyClass) const -> bool
    {
        const auto part = largestParts.at(static_cast<std::size_t>(latencyClass)) * m_scale;
        const auto headroom = static_cast<std::uint64_t>(static_cast<double>(seats.total) * part);
        return headroom == 0 || seats.free > headroom;
    }

private:
    /// Parts of all seats that each class leaves free at most.
    static constexpr std::array<double, 3> largestParts { 0, 0.02, 0.06 };
    static constexpr double growth = 0.5;
    /// The headroom rests where about this share of interactive work is late.
    static constexpr double aimedLateShare = 0.005;

    /// Part of the largest headroom, from 0 to 1. It begins with all of it: too little shows at once in
    /// late work, too much costs little for the time that it takes to shrink.
    double m_scale = 1;
};

}
