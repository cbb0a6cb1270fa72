#pragma once

/// A request between its arrival and its final answer.

#include "CrashVerdict.h"
#include "Identifiers.h"
#include "LatencyClass.h"
#include "QueueEntry.h"
#include "RequestArrived.h"
#include "RequestPhase.h"
#include "Reservation.h"
#include "Time.h"

#include <cstdint>
#include <optional>

namespace jayhold {

struct ActiveRequest {
    RequestArrived arrival;
    TimePoint arrivedAt;
    RequestPhase phase = RequestPhase::Queued;
    Attempt attempt = 0;
    FlowKey flow;
    LatencyClass latencyClass = LatencyClass::Standard;
    QueueLane lane = QueueLane::Fair;

    std::optional<ReplicaId> prefill;
    std::optional<ReplicaId> decode;
    Reservation prefillHold;
    Reservation decodeHold;

    /// When the present engine was given its work.
    TimePoint engineSince;
    TimePoint phaseSince;
    /// Last sign of progress of the present attempt.
    TimePoint progressAt;
    TimePoint kvExpiresAt;
    /// Time of the entry in the timer queue.
    TimePoint timerAt = TimePoint::max();

    /// When its decode is expected to end, and the tokens it had at that forecast.
    TimePoint expectedEnd = TimePoint::max();
    std::uint32_t forecastAt = 0;
    /// Tokens on the prefill replica, its own included, when its prefill started.
    std::uint32_t prefillBacklog = 0;

    /// Tokens that the caller has.
    std::uint32_t emitted = 0;
    /// Whether some earlier decode attempt may have run.
    bool mayHaveRun = false;
    /// Attempts that failed and may have run.
    std::uint32_t failures = 0;
    /// Attempts that a backend server turned away without running them.
    std::uint32_t redirects = 0;
    CrashVerdict verdict = CrashVerdict::None;
    /// Tokens that the caller had at the last crash.
    std::uint32_t emittedAtCrash = 0;
    /// Replica of the last failed attempt; avoided by the next where there is another.
    std::optional<ReplicaId> avoid;
};

}
