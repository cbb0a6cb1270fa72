#pragma once

/// Checks of streams over all tries of their callers: the software versions of their events, and whether streams that
/// broke off go on.

#include "SoakChecks.h"

namespace jayhold::soak {

/// @param calls the requests of each caller in the order in which they were sent.
/// @return the streams in which a piece is missing or double, or which have events of two versions.
auto checkStreamOrder(std::span<const CallRecord> calls) -> std::vector<Violation>;

/// @return a violation if streams that are taken up go on less than half as often as new ones begin. Only requests
/// count during which the store and the instances are calm and two undisturbed engines of the stream's version serve,
/// and only the first of them after each time the stream broke off.
auto checkTakeUps(std::span<const CallRecord> calls, std::span<const VersionPeriod> versions, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>;

}
