#pragma once

/// Checks that a slow plain server gets less work than the fast ones. Decode engines are not compared: a slow engine also
/// gets less work where speeds are not known, because its requests stay longer.

#include "SoakChecks.h"

namespace jayhold::soak {

/// @param period time without faults.
/// @return a violation if the plain servers at 0.55 of the nominal speed began too many requests, compared with those at
/// 1.2.
auto checkSpeeds(std::span<const BackendRun> runs, const FleetSize& size, const FaultFreePeriod& period) -> std::vector<Violation>;

}
