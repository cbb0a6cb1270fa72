#pragma once

/// Crashes by the signature of the requests that ran into them, here and at the other instances. A
/// signature that was in flight at the crashes of two replicas is to blame, although no single
/// instance has seen both. Private to the decision library.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jayhold {

struct CrashHistory {
    /// Replicas that crashed while they ran a request with the signature, and when.
    std::vector<std::pair<ReplicaId, TimePoint>> crashes;
    /// Requests with the signature are not started again before this time.
    TimePoint startNotBefore;
};

using CrashHistoryTable = std::unordered_map<std::uint64_t, CrashHistory>;

/// The broken connections of a zone that is cut off arrive here, and the peers' reports of them,
/// within this time; they end the suspicion before it becomes a verdict.
inline constexpr Duration crashReportWait = std::chrono::milliseconds(30);

/// Notes a crash, unless it is known already.
/// @param hold time for which requests with the signature wait at least.
auto addCrash(CrashHistoryTable& table, std::uint64_t signature, ReplicaId replica, TimePoint now, Duration hold) -> void;

/// The replica did not crash.
auto removeCrash(CrashHistoryTable& table, ReplicaId replica) -> void;

/// @return whether requests with the signature have to wait.
auto isStartDelayed(const CrashHistoryTable& table, std::uint64_t signature, TimePoint now) -> bool;

/// @return the signatures to blame, which are removed from the table together with old entries.
auto takeBlamedSignatures(CrashHistoryTable& table, TimePoint now) -> std::vector<std::uint64_t>;

/// @return when the next hold ends; the end of time where there is none.
auto nextStartDelayEnd(const CrashHistoryTable& table, TimePoint now) -> TimePoint;

}
