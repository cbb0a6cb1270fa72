#pragma once

/// Checks that slow backend servers get less work than fast ones.

#include "SoakChecks.h"

namespace jayhold::soak {

/// Compares the plain servers, and the decode engines except the one that planCalmRelease() replaces, because that has
/// another software version than the others.
/// @param period time without faults.
/// @return violations if servers at 0.55 of the nominal speed began almost as many requests as those at 1.2.
auto checkSpeeds(std::span<const BackendRun> runs, const FleetSize& size, const FaultFreePeriod& period) -> std::vector<Violation>;

}
