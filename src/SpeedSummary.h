#pragma once

/// How the expected speeds of the backend servers of a service differ.

#include <algorithm>
#include <cstdint>

namespace jayhold {

struct SpeedSummary {
    std::uint32_t slower = 0;
    std::uint32_t faster = 0;
    double lowest = 1;
    double highest = 1;
};

/// @param speed expected speed of one server, 1 at the mean.
inline auto addSpeed(SpeedSummary& summary, double speed) -> void
{
    summary.slower += speed < 1;
    summary.faster += speed > 1;
    summary.lowest = std::min(summary.lowest, speed);
    summary.highest = std::max(summary.highest, speed);
}

}
