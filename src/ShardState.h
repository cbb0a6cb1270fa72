#pragma once

/// The state of a Shard. Private to the decision library.

#include "ActiveRequest.h"
#include "AnsweredRequests.h"
#include "CrashHistory.h"
#include "DecodeEndHistogram.h"
#include "HeadroomScale.h"
#include "LengthModel.h"
#include "OfferedLoad.h"
#include "PlacementIndex.h"
#include "PrefixCacheView.h"
#include "PromptPartCrashes.h"
#include "Replacement.h"
#include "Replica.h"
#include "RequestQueue.h"
#include "RetryBudget.h"
#include "RetryWaits.h"
#include "ReturnPromises.h"
#include "ServiceRates.h"
#include "ShardSettings.h"
#include "ShardSummary.h"
#include "SpeedReference.h"
#include "StartInterval.h"
#include "TimerQueue.h"
#include "UndecidedCrash.h"
#include "VersionEngines.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace jayhold {

inline auto largestCapacity(const std::multiset<std::uint64_t>& capacities) -> std::uint64_t
{
    return capacities.empty() ? 0 : *capacities.rbegin();
}

struct ShardState {
    ShardSettings settings;
    /// The ranks that requests can have according to the settings, the most urgent first.
    std::vector<RequestRank> ranks;
    std::unordered_map<RequestId, ActiveRequest> requests;
    AnsweredRequests answered;
    std::unordered_map<ReplicaId, Replica> replicas;
    /// Replicas that are removed when no request runs on them any more. Those whose role changed are then added
    /// again with the given description.
    std::map<ReplicaId, std::optional<ReplicaChanged>> endingReplicas;
    PlacementIndex index;
    RequestQueue queue;
    /// The requests of the Resume sub-queue of the queue.
    RetryWaits retryWaits;
    TimerQueue timers;
    /// Requests whose prefill result waits for a decode slot, ordered by its expiry.
    std::set<std::pair<TimePoint, RequestId>> prefilled;
    /// Requests whose decode replica has been asked for a slot and has not answered. Their prefill has
    /// not begun, and a full replica rejects most of them.
    std::set<RequestId> awaitingSlotReply;
    /// Reservations for the replacement of silent attempts, at most one for each request.
    std::unordered_map<RequestId, Replacement> replacements;
    ReplacementNumber lastReplacement = 0;
    /// Prefills that started because a slot was expected to become free, ordered by their start.
    std::set<std::pair<TimePoint, RequestId>> prefillsWithoutSlot;
    PrefixCacheView cache;
    /// The zone other than the local one that last got a prefill, unless the local zone has got one
    /// since.
    std::optional<ZoneId> remotePrefillZone;
    DecodeEndHistogram decodeEnds;
    ServiceRates rates;
    SpeedReference prefillReference;
    SpeedReference decodeReference;
    /// Indexed by request kind.
    std::vector<LengthModel> lengthModels;
    /// Signatures of requests that crash engines, with the times until which they are refused.
    std::unordered_map<std::uint64_t, TimePoint> blockedSignatures;
    CrashHistoryTable crashHistory;
    PromptPartCrashes partCrashes;
    /// The signatures of answered requests, as harmless parts. Each request has another one, so in one table with the
    /// parts of prompts they would displace these.
    PromptPartCrashes answeredSignatures;
    /// Oldest first, one of a process.
    std::vector<UndecidedCrash> undecidedCrashes;
    /// Replicas that recently lost connections, and when.
    std::vector<std::pair<ReplicaId, TimePoint>> disconnectedReplicas;
    RetryBudget retryBudget { modelRetryLimits, modelRetryLimits.capacity };
    OfferedLoad offeredLoad;
    /// Number of free slots of the live decode replicas, as far as known.
    std::int64_t freeDecodeSlots = 0;
    /// Number of slots of the live decode replicas.
    std::int64_t decodeSlots = 0;
    HeadroomScale headroomScale;
    /// Requests in prefill. Each is about to take a decode slot that no report shows.
    std::uint32_t prefilling = 0;
    /// Requests that are not waiting in the queue.
    std::uint32_t running = 0;
    /// Average number of memory blocks that a request takes on a decode replica.
    double meanDecodeMemoryBlocks = 0;
    StartInterval startInterval;
    ReturnPromises returnPromises;
    StartInterval overdueStartInterval;
    /// Expected output tokens of the requests that started since the last aged request.
    std::uint64_t tokensSinceAgedStart = 0;
    std::minstd_rand random;
    ShardSummary totals;
    /// The software versions that decode replicas have had.
    std::unordered_map<SoftwareVersionId, VersionEngines> versions;
    /// Memory of the live replicas in tokens.
    std::multiset<std::uint64_t> prefillCapacities;
    std::multiset<std::uint64_t> decodeCapacities;
    /// Ends of the pauses of the live replicas that want no requests now.
    std::multiset<TimePoint> prefillPauses;
    std::multiset<TimePoint> decodePauses;
    TimePoint scheduledWake = TimePoint::max();
    /// Whether new requests are refused.
    bool draining = false;
    /// When the instance ends the open requests.
    TimePoint endsAt = TimePoint::max();
};

}
