#pragma once

/// Seats that the arriving requests of each latency class would hold on average: a fading sum of
/// their expected holding times.

#include "LatencyClass.h"
#include "Time.h"

#include <array>
#include <cmath>
#include <cstddef>

namespace jayhold {

class OfferedLoad {
public:
    auto arrived(LatencyClass latencyClass, TimePoint now, double heldSeconds) -> void
    {
        auto& entry = m_classes.at(static_cast<std::size_t>(latencyClass));
        entry.sum = faded(entry, now) + heldSeconds;
        entry.at = now;
    }

    /// @return seats held by the requests of the class if all of them ran.
    auto seats(LatencyClass latencyClass, TimePoint now) const -> double
    {
        return faded(m_classes.at(static_cast<std::size_t>(latencyClass)), now) / window;
    }

private:
    struct Entry {
        double sum = 0;
        TimePoint at;
    };

    /// Seconds over which arrivals fade; long against bursts, short against the working day.
    static constexpr double window = 15;

    static auto faded(const Entry& entry, TimePoint now) -> double
    {
        return entry.sum * std::exp(static_cast<double>((entry.at - now).count()) / 1e6 / window);
    }

    std::array<Entry, 3> m_classes;
};

}
