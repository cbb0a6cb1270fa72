#pragma once

/// The mean speed of the backend servers of a service at one type of work, with which the speed of each is compared.

#include "WorkAverage.h"

namespace jayhold {

struct SpeedReference {
    /// Amount of work in tokens or calls.
    WorkAverage average;
};

/// Adds work to the mean. Work that takes longer than at the lowest relative speed counts as at that speed.
/// @param amount tokens or calls.
/// @return the seconds that the work would have taken at the mean speed, itself included; zero if the work is not usable.
auto addToReference(SpeedReference& reference, TimePoint now, double amount, double seconds) -> double;

/// @return the seconds that the work would take at the mean speed, or zero if that is not known.
auto secondsAtMeanSpeed(const SpeedReference& reference, double amount) -> double;

}
