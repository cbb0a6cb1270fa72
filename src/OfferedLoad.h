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
    auto arrived(LatencyClass latencyClass, TimePoint now, double holdSeconds) -> void
    {
        auto& entry = m_classes.at(static_cast<std::size_t>(latencyClass));
        entry.sum = decayed(entry, now) + holdSeconds;
        entry.at = now;
    }

    /// @return seats held by the requests of the class if all of them ran.
    auto slots(LatencyClass latencyClass, TimePoint now) const -> double
    {
        return decayed(m_classes.at(static_cast<std::size_t>(latencyClass)), now) / decayTime;
    }

private:
    struct Entry {
        double sum = 0;
        TimePoint at;
    };

    /// Seconds over which arrivals fade; long against bursts, short against the working day.
    static constexpr double decayTime = 15;

    static auto decayed(const Entry& entry, TimePoint now) -> double
    {
        return entry.sum * std::exp(static_cast<double>((entry.at - now).count()) / 1e6 / decayTime);
    }

    std::array<Entry, 3> m_classes;
};

}
