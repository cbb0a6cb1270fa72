#pragma once

/// Explains where a request that arrives now would be placed, and why. A copy of the shard decides, so that the shard does not
/// change and the explanation can't differ from the decision.

#include "PlacementCandidate.h"
#include "Refuse.h"
#include "RequestArrived.h"
#include "Shard.h"
#include "StartDecode.h"
#include "StartPrefill.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace jayhold {

/// What a waiting request waits for.
enum class WaitCause {
    /// The peers' reports of a crash that the request may have caused, or a copy of the request that runs alone.
    CrashReports,
    /// The end of the pauses of all replicas of a role.
    Pauses,
    /// Requests that start before it.
    EarlierRequests,
    /// A decode slot, beside those that stay free for more urgent requests.
    DecodeSlot,
    /// A prefill replica that takes it.
    Prefill,
    /// Memory on a decode replica.
    DecodeMemory,
};

/// @return the stable name of a cause.
auto name(WaitCause cause) -> std::string_view;

struct PlacementWait {
    WaitCause cause {};
    /// Expected wait until the start.
    Duration expected {};
    /// Whether the request goes behind those that can still meet their first-token target.
    bool isOverdue = false;
};

struct PlacementExplanation {
    std::variant<StartPrefill, StartDecode, PlacementWait, Refuse> decision;
    /// With a prefill: whether the decode slot is free now. Otherwise it is expected to be free when the result is ready.
    bool isDecodeSlotFree = false;
    /// The chosen replicas, then the others of each role in the order of their costs, those that can't take the request last.
    std::vector<PlacementCandidate> candidates {};
    /// Number of replicas, also of those that are not listed.
    std::size_t candidateCount = 0;
    /// Number of requests that waited at this instance.
    std::uint64_t queuedBefore = 0;
    std::int64_t freeDecodeSlots = 0;
    /// Decode slots that must stay free beside that of the request; absent if no placement was tried.
    std::optional<std::int64_t> slotHeadroom {};
    /// Load by which a decode replica of another zone must be better, as a fraction of its slots or memory.
    double otherZonePenalty = 0;
    /// Number of waiting requests that would be refused because of this one.
    std::size_t displacedRequests = 0;
};

/// Maximum number of replicas of a role in an explanation.
inline constexpr std::size_t maxListedCandidates = 24;

/// Explains the decision on a request.
/// @param copy a copy of the shard, which the decision changes.
/// @param now not before the last event of the shard.
/// @param arrival its identifier is not in use.
auto explainArrival(Shard copy, TimePoint now, const RequestArrived& arrival) -> PlacementExplanation;

}
