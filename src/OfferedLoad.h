#pragma once

/// Offered load of each latency class: the number of slots that its arriving requests would hold on
/// average, as an exponentially decaying sum of their expected holding times.

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

    /// @return the slots that the requests of the class would hold if all of them ran.
    auto slots(LatencyClass latencyClass, TimePoint now) const -> double
    {
        return decayed(m_classes.at(static_cast<std::size_t>(latencyClass)), now) / decayTimeSeconds;
    }

private:
    struct Entry {
        double sum = 0;
        TimePoint at;
    };

    /// Time constant of the decay: long compared with bursts and short compared with a working day.
    static constexpr double decayTimeSeconds = 15;

    static auto decayed(const Entry& entry, TimePoint now) -> double
    {
        return entry.sum * std::exp(static_cast<double>((entry.at - now).count()) / 1e6 / decayTimeSeconds);
    }

    std::array<Entry, 3> m_classes;
};

}
