#pragma once

/// A backend server as the shard sees it: its capacity, what this shard has reserved on it and
/// what others are believed to use.

#include "EndedUsage.h"
#include "Identifiers.h"
#include "ReplicaChanged.h"
#include "Reservation.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold {

/// Consecutive failures after which a replica gets no work for a time.
constexpr std::uint32_t failuresBeforeEjection = 3;

struct Replica {
    ReplicaChanged description;
    /// Sum of the reservations of this shard.
    Reservation reserved;
    /// Requests of this shard with a reservation here.
    std::vector<RequestId> owners;

    /// Use by others, as they tell it or estimated from the last load report.
    std::uint32_t peerSlots = 0;
    std::uint32_t peerMemoryBlocks = 0;
    /// Prompt tokens of others that wait for or are in their prefill here, where they tell.
    std::uint32_t peerPrefillTokens = 0;
    std::uint64_t reportSequence = 0;
    TimePoint reportAsOf = TimePoint::min();
    RecentUsages recentUsages;
    /// Free seats that this instance may still take before the next report, where it shares the replica.
    std::optional<std::uint32_t> slotAllowance;
    TimePoint slotAllowanceUntil;

    /// Turned work away; gets none before this time.
    TimePoint busyUntil = TimePoint::min();
    std::uint32_t consecutiveFailures = 0;
    /// Times in a row that it turned work away.
    std::uint32_t consecutiveRejections = 0;
    TimePoint ejectedUntil = TimePoint::min();

    /// The suspect that runs here in isolation; the replica gets no new work meanwhile.
    std::optional<RequestId> isolatedSuspect;
    /// Requests that became suspects here since `connectionLostAt`, until something shows that it did not crash.
    std::vector<RequestId> recentSuspects;
    TimePoint connectionLostAt;
    /// It gets no new work before this time, while the peers' reports of the same crash arrive.
    TimePoint crashReportWaitUntil = TimePoint::min();
    /// When the last crash was blamed on a suspect.
    std::optional<TimePoint> blamedAt;
    /// Its part of the free and of all seats of the shard.
    std::int64_t countedFreeSlots = 0;
    std::int64_t countedSlots = 0;
    /// When it last turned work away for lack of room; older reports say nothing about its seats.
    TimePoint lastRejectedAt = TimePoint::min();
    /// Its entry among the capacities of the live replicas.
    std::optional<std::uint64_t> countedCapacity;
    /// Whether it is in the placement index, and under which key.
    bool indexed = false;
    std::uint64_t indexKey = 0;
    TimePoint timerAt = TimePoint::max();

    auto role() const -> PoolRole { return description.role; }
};

}
