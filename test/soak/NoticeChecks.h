#pragma once

/// Checks of what backend servers say about themselves in their answers: that they are leaving, and for how long they
/// take no requests.

#include "SoakChecks.h"

namespace jayhold::soak {

/// @return the requests that reached a backend server although their instance had passed on an answer in which this
/// process said that it was leaving, long enough before the caller sent them.
auto checkLeavingNotices(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults) -> std::vector<Violation>;

/// @return the requests with which an instance has sent too many to a backend server in the time for which that has
/// turned requests away.
auto checkRetryDelays(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults) -> std::vector<Violation>;

}
