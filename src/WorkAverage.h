#pragma once

/// Sums of an amount of work and of the time that it took, which decay with time. Their ratio is a moving average in which
/// long work counts more.

#include "Time.h"

namespace jayhold {

struct WorkAverage {
    double amount = 0;
    double seconds = 0;
    TimePoint updatedAt {};
};

/// Adds work to the average.
/// @param decayTime time in which earlier work loses all but 1/e of its weight.
auto addWork(WorkAverage& average, TimePoint now, Duration decayTime, double amount, double seconds) -> void;

/// @return the average with the weights that its sums have at a later time.
auto decayedTo(const WorkAverage& average, TimePoint now, Duration decayTime) -> WorkAverage;

}
