#pragma once

/// A request between its arrival and its final answer.

#include "CrashSuspicion.h"
#include "Identifiers.h"
#include "LatencyClass.h"
#include "OptionalReplica.h"
#include "QueueEntry.h"
#include "RequestArrived.h"
#include "RequestPhase.h"
#include "RequestRank.h"
#include "Reservation.h"
#include "Time.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace jayhold {

/// The members are ordered by size, because a large shard holds about 200,000 of these.
struct ActiveRequest {
    RequestArrived arrival;
    RequestRank rank;
    TimePoint arrivedAt;
    /// Start of the current phase. While decoding, the time at which the engine was given the work.
    TimePoint phaseStartedAt;
    /// Last sign of progress of the current attempt.
    TimePoint lastProgressAt;
    TimePoint kvExpiresAt;
    /// When the last retry was taken from the budget.
    TimePoint retryConsumedAt;
    /// Time of the request's entry in the timer queue.
    TimePoint timerAt = TimePoint::max();
    /// Expected end of the decode.
    TimePoint expectedEnd = TimePoint::max();

    Reservation prefillReserved;
    Reservation decodeReserved;
    OptionalReplica prefill;
    OptionalReplica decode;
    /// Replica of the last failed attempt. The next attempt avoids it if there is another.
    OptionalReplica avoidedReplica;
    /// Replica of the silent attempt that the current one has replaced. It is the fallback until the current one has brought
    /// a token.
    OptionalReplica fallback;

    /// The version of the engine whose first event reached the caller, or of the one that began the stream which the caller
    /// takes up. The request decodes only at replicas of this version.
    std::optional<SoftwareVersionId> boundVersion;
    /// Version of the decode replica of the current attempt. The replica may be gone before its tokens are reported.
    SoftwareVersionId attemptVersion {};

    Attempt attempt = 0;
    /// The attempt whose silence was last counted as a failure of its replica.
    Attempt silentAttempt = 0;
    /// Tokens that the caller has received.
    std::uint32_t emitted = 0;
    /// Tokens that the caller had when the end was last estimated.
    std::uint32_t emittedAtEstimate = 0;
    /// Tokens that the caller had when the current attempt started.
    std::uint32_t emittedAtStart = 0;
    /// Tokens that the caller had at the last crash.
    std::uint32_t emittedAtCrash = 0;
    /// Prompt tokens on the prefill replica when the prefill started, those of this request included.
    std::uint32_t prefillBacklogTokens = 0;
    /// Prompt tokens of peers there at that time.
    std::uint32_t prefillPeerTokens = 0;
    LatencyClass latencyClass = LatencyClass::Standard;
    /// Failed attempts that may have run.
    std::uint8_t failures = 0;
    /// Failures that count as a run, because the request was on a decode replica.
    std::uint8_t failedDecodes = 0;
    /// Prefill results that a decode replica did not fetch.
    std::uint8_t kvFetchFailures = 0;
    /// Failed attempts that provably did not run.
    std::uint8_t attemptsNotRun = 0;
    /// Prefills and failed decodes that count as calls to an engine, up to maxCount.
    std::uint8_t engineCalls = 0;
    /// Retries that were taken from the budget.
    std::uint8_t consumedRetries = 0;

    RequestPhase phase = RequestPhase::Queued;
    SubQueue subQueue = SubQueue::Fair;
    CrashSuspicion crashSuspicion = CrashSuspicion::None;
    /// Whether the request tries whether a blocked part of its prompt still crashes engines.
    bool triesBlockedPart = false;
    /// Whether the request has waited so long, or its rank has been served so rarely, that it leaves no headroom.
    bool isDue = false;
    /// Whether a prefill has ended with a result.
    bool hadPrefillResult = false;
    /// Whether an earlier decode attempt may have run.
    bool mayHaveRun = false;
    /// Whether the shard has ended an attempt because its engine was silent.
    bool leftSilentEngine = false;

    auto flow() const -> FlowKey { return { arrival.kind, arrival.customer }; }
};

/// Largest value of the counters of a request, which don't wrap.
inline constexpr std::uint8_t maxCount = std::numeric_limits<std::uint8_t>::max();

/// Adds one to a counter that stays at its largest value.
inline auto incrementSaturating(std::uint8_t& counter) -> void
{
    counter += counter < maxCount;
}

/// @return the queue entry of the request.
inline auto queueEntry(const ActiveRequest& request) -> QueueEntry
{
    return {
        .request = request.arrival.request,
        .order = static_cast<std::uint64_t>(request.arrivedAt.time_since_epoch().count()),
        .flow = request.flow(),
        .rank = request.rank,
        .latencyClass = request.latencyClass,
        .subQueue = request.subQueue,
        .version = request.subQueue == SubQueue::Resume ? request.boundVersion : std::nullopt,
    };
}

}
