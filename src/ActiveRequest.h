#pragma once

/// A request between its arrival and its final answer.

#include "CrashSuspicion.h"
#include "Identifiers.h"
#include "LatencyClass.h"
#include "OptionalReplica.h"
#include "QueueEntry.h"
#include "RequestArrived.h"
#include "RequestPhase.h"
#include "Reservation.h"
#include "Time.h"

#include <cstdint>

namespace jayhold {

/// The members are ordered by size: a large shard holds some 200,000 of these.
struct ActiveRequest {
    RequestArrived arrival;
    TimePoint arrivedAt;
    /// When the present phase began; while decoding, when the engine was given its work.
    TimePoint phaseStartedAt;
    /// Last sign of progress of the present attempt.
    TimePoint lastProgressAt;
    TimePoint kvExpiresAt;
    /// Time of the entry in the timer queue.
    TimePoint timerAt = TimePoint::max();
    /// When its decode is expected to end.
    TimePoint expectedEnd = TimePoint::max();

    Reservation prefillReserved;
    Reservation decodeReserved;
    OptionalReplica prefill;
    OptionalReplica decode;
    /// Replica of the last failed attempt; avoided by the next where there is another.
    OptionalReplica avoidedReplica;

    Attempt attempt = 0;
    /// Tokens that the caller has.
    std::uint32_t emitted = 0;
    /// Tokens that it had when the end was last forecast.
    std::uint32_t emittedAtEstimate = 0;
    /// Tokens that it had at the last crash.
    std::uint32_t emittedAtCrash = 0;
    /// Tokens on the prefill replica, its own included, when its prefill started.
    std::uint32_t prefillBacklogTokens = 0;
    LatencyClass latencyClass = LatencyClass::Standard;
    /// Attempts that failed and may have run.
    std::uint8_t failures = 0;
    /// Those of them that failed on a decode replica, where a request runs.
    std::uint8_t failedDecodes = 0;
    /// Prefill results that a decode replica could not fetch.
    std::uint8_t kvFetchFailures = 0;
    /// Attempts that a backend server turned away without running them.
    std::uint8_t attemptsNotRun = 0;

    RequestPhase phase = RequestPhase::Queued;
    SubQueue subQueue = SubQueue::Fair;
    CrashSuspicion crashSuspicion = CrashSuspicion::None;
    /// Whether some earlier decode attempt may have run.
    bool mayHaveRun = false;

    auto flow() const -> FlowKey { return { arrival.kind, arrival.customer }; }
};

}
