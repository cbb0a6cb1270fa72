#pragma once

/// Checks what callers with keys and backend servers observed in a run with customers.

#include "SoakChecks.h"

namespace jayhold::soak {

struct CustomerTimes {
    /// When the instances were ready and the first caller started.
    TimePoint startedAt {};
    /// When the store had accepted the change of the keys.
    TimePoint keysChangedAt = TimePoint::max();
    /// Time without faults in which the bursty customer exceeds its quota.
    FaultFreePeriod burst {};
};

/// @return the calls that other checks expect to be served. Those that were refused for their key, and those of the bursty
/// customer that were refused for its quota, are left out; they are checked here. Without customers, these are all calls.
auto admittedCalls(std::span<const CallRecord> calls) -> std::vector<CallRecord>;

/// A withdrawn key must be unknown, and an added one known, to requests that were sent `maxKeyDelay` after the change while
/// neither the store nor an instance was disturbed. The state of other keys never changes.
/// @param keyArrivals requests and calls with credentials that backend servers received.
/// @param keysChangedAt when the store had accepted the change of the keys.
/// @return violations by requests without a known key that ran or were not refused for good, by requests with one that were
/// refused for it, by names that differ from the caller's key, and by keys that backend servers received.
auto checkKeys(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const BackendRun> keyArrivals, TimePoint keysChangedAt, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>;
inline constexpr Duration maxKeyDelay = std::chrono::seconds(3);

/// @return a violation if a log line contains a key.
auto checkKeysInLogs(std::span<const std::string> lines) -> std::vector<Violation>;

/// @return for each customer with a quota a violation if in some window the requests that backend servers began to run
/// count more than the quota and what it may be exceeded by. A request counts once, at its first run.
auto checkQuotas(std::span<const CallRecord> calls, std::span<const BackendRun> runs) -> std::vector<Violation>;

/// @return violations if customers below their quotas were refused with 429 while neither the store nor an instance was
/// disturbed, or if too few of their requests beside the burst were served. Instances that start have no share of a quota
/// until they know each other, so the beginning of the run counts as a disturbance.
auto checkBelowQuota(std::span<const CallRecord> calls, const CustomerTimes& times, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>;

}
