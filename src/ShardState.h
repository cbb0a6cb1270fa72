#pragma once

/// The state behind a Shard. Private to the decision library.

#include "ActiveRequest.h"
#include "AnsweredRequests.h"
#include "CrashHistory.h"
#include "DecodeEndHistogram.h"
#include "HeadroomScale.h"
#include "LengthModel.h"
#include "OfferedLoad.h"
#include "PlacementIndex.h"
#include "PrefixCacheView.h"
#include "Replica.h"
#include "RequestQueue.h"
#include "RetryBudget.h"
#include "ServiceRates.h"
#include "ShardSettings.h"
#include "ShardSummary.h"
#include "StartRate.h"
#include "TimerQueue.h"

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
    std::unordered_map<RequestId, ActiveRequest> requests;
    AnsweredRequests answered;
    std::unordered_map<ReplicaId, Replica> replicas;
    PlacementIndex index;
    RequestQueue queue;
    TimerQueue timers;
    /// Requests whose prefill result waits for a decode seat, first to expire first.
    std::set<std::pair<TimePoint, RequestId>> prefilled;
    /// Requests whose decode replica has been asked for a seat and has not answered. Their prefill has
    /// not begun, and a full replica turns most of them away.
    std::set<RequestId> awaitingSlotReply;
    /// Prefills that started on the expectation that a seat frees up, by the time of their start.
    std::set<std::pair<TimePoint, RequestId>> prefillsWithoutSlot;
    PrefixCacheView cache;
    /// The other zone that prefills went to last, unless one has gone to the local zone since.
    std::optional<ZoneId> remotePrefillZone;
    DecodeEndHistogram decodeEnds;
    ServiceRates rates;
    /// By kind.
    std::vector<LengthModel> lengthModels;
    /// Signatures of requests that crash engines, and until when they are refused.
    std::unordered_map<std::uint64_t, TimePoint> blockedSignatures;
    CrashHistoryTable crashEvidence;
    /// Replicas that lost connections, and when, for a short time.
    std::vector<std::pair<ReplicaId, TimePoint>> disconnectedReplicas;
    RetryBudget retryBudget { modelRetryLimits };
    OfferedLoad offered;
    /// Free seats of the live decode replicas, as far as known.
    std::int64_t freeDecodeSlots = 0;
    /// All seats of the live decode replicas.
    std::int64_t decodeSlots = 0;
    HeadroomScale headroomScale;
    /// Requests whose prefill runs; each is about to take a decode seat that no report shows.
    std::uint32_t prefilling = 0;
    /// Requests that are not waiting in the queue.
    std::uint32_t running = 0;
    /// Memory pieces of a request on a decode replica, averaged.
    double meanDecodeMemoryBlocks = 0;
    StartRate startRate;
    StartRate overdueStartRate;
    /// Expected output tokens of the requests started since an aged request got its turn.
    std::uint64_t tokensSinceAgedStart = 0;
    std::minstd_rand random;
    ShardSummary totals;
    /// Memory of the live replicas in tokens.
    std::multiset<std::uint64_t> prefillCapacities;
    std::multiset<std::uint64_t> decodeCapacities;
    TimePoint scheduledWake = TimePoint::max();
    bool draining = false;
};

}
