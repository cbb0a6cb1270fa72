#pragma once

/// What is recorded of the placement of one request while a copy of a shard decides on it.

#include "DecisionContext.h"
#include "Placement.h"
#include "PlacementCandidate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold {

struct PlacementTrace {
    RequestId request;
    /// As of the last attempt to place the request, or of its arrival if there was none.
    std::vector<PlacementCandidate> candidates {};
    std::int64_t freeDecodeSlots = 0;
    std::uint64_t queuedBefore = 0;
    /// Decode slots that must stay free; absent if no attempt was made.
    std::optional<std::int64_t> slotHeadroom {};
    /// Whether the decode slot was free in the last attempt that found a place.
    bool isSlotFree = false;
};

/// Records the replicas at the arrival of the request; ignored for other requests.
auto recordCandidates(DecisionContext& context, const ActiveRequest& request) -> void;
/// Records an attempt to place the request; ignored for other requests.
auto recordAttempt(DecisionContext& context, const ActiveRequest& request, std::int64_t slotHeadroom, const std::optional<Placement>& placement) -> void;

}
