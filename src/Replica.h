#pragma once

/// A backend server as the shard sees it: its capacity, the reservations of this shard and the
/// estimated usage by peers.

#include "CallAllowance.h"
#include "EndedUsage.h"
#include "Identifiers.h"
#include "ReplicaChanged.h"
#include "Reservation.h"
#include "ServerSpeed.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold {

/// Number of consecutive failures after which a replica gets no work for some time.
constexpr std::uint32_t failuresBeforeEjection = 3;

struct Replica {
    ReplicaChanged description;
    /// Sum of this shard's reservations.
    Reservation reserved;
    /// Requests of this shard with a reservation here.
    std::vector<RequestId> requests;

    /// Usage by peers, as they report it or as estimated from the last load report.
    std::uint32_t peerSlots = 0;
    std::uint32_t peerMemoryBlocks = 0;
    /// Prompt tokens of peers that wait for their prefill here or are in it, if the peers report them.
    std::uint32_t peerPrefillTokens = 0;
    std::uint64_t reportSequence = 0;
    TimePoint reportAsOf = TimePoint::min();
    RecentUsages recentUsages;
    /// If instances share the replica, free slots that this instance may still take before the next
    /// report.
    std::optional<std::uint32_t> slotAllowance;
    TimePoint slotAllowanceUntil;

    /// The calls that this instance may send, if the replica has named a limit.
    std::optional<CallAllowance> allowance;

    /// The replica rejected work and gets none before this time.
    TimePoint busyUntil = TimePoint::min();
    std::uint32_t consecutiveFailures = 0;
    /// Number of consecutive rejections.
    std::uint32_t consecutiveRejections = 0;
    TimePoint ejectedUntil = TimePoint::min();

    /// The replica has asked for a pause and gets nothing before this time.
    TimePoint pausedUntil = TimePoint::min();
    /// End of the time that the replica has asked for, which may be later than the end of the pause.
    TimePoint pauseAskedUntil = TimePoint::min();
    /// Whether no request has succeeded since the last pause. The replica gets one at a time until then.
    bool isReturning = false;
    /// The request that was placed first after the pause, while it is here.
    std::optional<RequestId> firstAfterPause;
    /// The replica's entry among the ends of the pauses.
    std::optional<TimePoint> countedPause;

    /// The suspect that runs here in isolation. The replica gets no new work meanwhile.
    std::optional<RequestId> isolatedSuspect;
    /// Requests that became suspects since `connectionLostAt`, until there is a sign that the replica
    /// did not crash.
    std::vector<RequestId> recentSuspects;
    TimePoint connectionLostAt;
    /// The replica gets no new work before this time, while the peers' reports of the same crash
    /// arrive.
    TimePoint crashReportWaitUntil = TimePoint::min();
    /// When a suspect was last blamed for a crash of the replica.
    std::optional<TimePoint> blamedAt;
    /// The replica's part of the shard's free slots and of all its slots.
    std::int64_t countedFreeSlots = 0;
    std::int64_t countedSlots = 0;
    /// When the replica last rejected work for lack of capacity. Older reports say nothing about its
    /// slots.
    TimePoint lastRejectedAt = TimePoint::min();
    /// The replica's entry among the capacities of the live replicas.
    std::optional<std::uint64_t> countedCapacity;
    /// The version under which the replica is counted as a live decode replica.
    std::optional<SoftwareVersionId> countedVersion;
    /// When a connection to the replica was last lost or refused. Its process may have been replaced since by one of another
    /// software version.
    std::optional<TimePoint> disconnectedAt;
    /// When it was first reached after that.
    std::optional<TimePoint> reachedAt;
    /// Speed at the work of its role.
    ServerSpeed speed;
    /// The speed that placement expects, as last computed. It is 1 if the difference from the mean is small.
    double expectedSpeed = 1;
    /// The expected speed is not computed again before this time.
    TimePoint speedValidUntil = TimePoint::min();
    /// Whether the replica is in the placement index, and its key there.
    bool indexed = false;
    std::uint64_t indexKey = 0;
    TimePoint timerAt = TimePoint::max();

    auto role() const -> PoolRole { return description.role; }
};

}
