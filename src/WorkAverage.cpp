#include "WorkAverage.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

auto decayedTo(const WorkAverage& average, TimePoint now, Duration decayTime) -> WorkAverage
{
    if (average.seconds <= 0)
        return { .updatedAt = now };
    // Events of different threads may be passed in with slightly decreasing times.
    const auto elapsed = std::max(now - average.updatedAt, Duration::zero());
    const auto weight = std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(decayTime.count()));
    return { average.amount * weight, average.seconds * weight, std::max(now, average.updatedAt) };
}

auto addWork(WorkAverage& average, TimePoint now, Duration decayTime, double amount, double seconds) -> void
{
    average = decayedTo(average, now, decayTime);
    average.amount += amount;
    average.seconds += seconds;
}

}
