#pragma once

/// Crashes by the signature of the requests that were running, at this instance and at its peers. A
/// signature that was in flight at the crashes of two replicas is blamed, even if no single instance
/// has seen both. Private to the decision library.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jayhold {

struct CrashHistory {
    /// Replicas that crashed while they ran a request with the signature, and the times of the crashes.
    std::vector<std::pair<ReplicaId, TimePoint>> crashes;
    /// Requests with the signature are not started again before this time.
    TimePoint startNotBefore;
    /// Requests of this instance with the signature that were open at its last crash or have started since.
    std::vector<RequestId> copies;
    /// Until when they run one at a time.
    TimePoint copiesWaitUntil;
    /// Largest number of tokens that a caller of this instance had at a crash.
    std::uint32_t emittedAtCrash = 0;
};

using CrashHistoryTable = std::unordered_map<std::uint64_t, CrashHistory>;

/// When the network cuts off a zone, its broken connections and the peers' reports of them arrive
/// within this time. They clear the suspects before a signature is blamed.
inline constexpr Duration crashReportWait = std::chrono::milliseconds(30);

/// Records a crash unless it is already known.
/// @param delay time for which requests with the signature wait, after a second crash at least until the reports of it
/// have arrived.
auto addCrash(CrashHistoryTable& table, std::uint64_t signature, ReplicaId replica, TimePoint now, Duration delay) -> void;

/// Removes all records of crashes of the replica, which turned out not to have crashed.
auto removeCrash(CrashHistoryTable& table, ReplicaId replica) -> void;

/// Removes all records of crashes of the replica, which has possibly not crashed.
/// @return the signatures and the times of the crashes.
auto takeCrashes(CrashHistoryTable& table, ReplicaId replica) -> std::vector<std::pair<std::uint64_t, TimePoint>>;

/// @return whether requests with the signature must wait.
auto isStartDelayed(const CrashHistoryTable& table, std::uint64_t signature, TimePoint now) -> bool;

/// @return the signatures to blame. They are removed from the table together with expired entries.
auto takeBlamedSignatures(CrashHistoryTable& table, TimePoint now) -> std::vector<std::uint64_t>;

/// @return when the next requests that wait need not wait any longer, or TimePoint::max() if none wait.
auto nextStartDelayEnd(const CrashHistoryTable& table, TimePoint now) -> TimePoint;

}
